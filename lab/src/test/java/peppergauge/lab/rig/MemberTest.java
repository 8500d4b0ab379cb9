package peppergauge.lab.rig;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;
import peppergauge.lab.process.Program;

public class MemberTest {

    /** Else a fault that ends a process would hide that it had ended by itself. */
    @Test
    public void aProcessThatEndedByItselfIsRecordedBeforeItIsKilled() throws Exception {
        Recorder recorder = new Recorder();
        List<List<InetSocketAddress>> reached = new ArrayList<>();
        String up = Event.of(1, What.UP, "m").saying("7,8").json();
        Program.Command command = new Program.Command(List.of("/bin/sh", "-c", "read x; echo '" + up + "'; read x"),
                Path.of("/"), Map.of());
        try (Member member = new Member("m", recorder, Files.createTempDirectory("member"), disk -> command,
                Optional.empty(), Optional.of(() -> "task"), reached::add)) {
            member.start();
            assertEquals(reached.get(0).stream().map(InetSocketAddress::getPort).toList(), List.of(7, 8));
            member.kill();
            member.start();
            member.start();
            assertEquals(recorder.history().of(What.LOST).count(), 0L);
            member.say(() -> "end");
            while (member.rssKb() > 0) {
                Thread.sleep(10);
            }
            member.kill();
        }
        List<Event> events = recorder.history().events();
        assertEquals(events.stream().map(Event::what).toList(), List.of(What.UP, What.UP, What.STARTED, What.DOWN,
                What.STARTED, What.LOST));
    }
}
