package peppergauge.lab.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;
import peppergauge.lab.process.ManagedProcess;
import peppergauge.lab.wire.Listener;
import peppergauge.lab.wire.Loop;

public class RigProcessTest {

    private static final ManagedProcess.Command SLEEP =
            new ManagedProcess.Command(List.of("sleep", "600"), Path.of("/"), Map.of());

    /** A start that is under way when the rig ends would else leave a process behind. */
    @Test
    public void noLifeIsBegunAfterTheEnd() throws Exception {
        RigProcess process = new RigProcess(
                "m",
                new EventRecorder(),
                Files.createTempDirectory("member"),
                disk -> SLEEP,
                Optional.empty(),
                Optional.of(() -> "task"),
                at -> {});
        process.close();
        assertThrows(InterruptedException.class, process::start);
        assertFalse(process.pid().isPresent());
    }

    /** Prints the number of a process that it started, and closed when a loop had all files that it may have. */
    public static final class OutOfFiles {

        /** @param args none */
        public static void main(String[] args) throws Exception {
            ManagedProcess sleeper =
                    new ManagedProcess("sleeper", Files.createTempDirectory("sleeper"), Optional.empty());
            sleeper.start(SLEEP);
            long pid = sleeper.pid().getAsLong();
            // What Java loads at the first close is loaded while there are files, as in a rig that runs.
            Rig.close(Loop.sleeping("before"), List.of());
            Loop loop = Loop.sleeping("files");
            List<Listener> open = new ArrayList<>();
            try {
                while (open.add(new Listener(loop, channel -> null))) {
                    // Until there are no more.
                }
            } catch (IOException none) {
                loop.start();
                Rig.close(loop, List.of(sleeper));
            }
            System.out.println(open.size() + " " + pid);
        }
    }

    /** Java ends no process then, and the sidecars of a rig that had come to that lived on. */
    @Test
    public void whoHasNoFileLeftEndsItsProcessesOnceTheLinksAreClosed() throws Exception {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        try (ManagedProcess few =
                new ManagedProcess("few", Files.createTempDirectory("few"), Optional.of(lines::add))) {
            few.start(new ManagedProcess.Command(
                    List.of(
                            "/bin/sh",
                            "-c",
                            "ulimit -n 120; exec \"$@\"",
                            "few",
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx32m",
                            "-cp",
                            System.getProperty("java.class.path"),
                            OutOfFiles.class.getName()),
                    Path.of("").toAbsolutePath(),
                    Map.of()));
            String[] said = lines.poll(60, TimeUnit.SECONDS).split(" ");
            assertTrue(Integer.parseInt(said[0]) > 10, "links were open");
            assertFalse(ProcessHandle.of(Long.parseLong(said[1]))
                    .filter(ProcessHandle::isAlive)
                    .isPresent());
        }
    }

    /** One that cannot be closed must not keep the others alive. */
    @Test
    public void allAreClosedWhateverBecomesOfOne() {
        List<String> closed = new ArrayList<>();
        assertThrows(
                IOException.class,
                () -> Rig.close(
                        () -> closed.add("links"),
                        List.of(
                                () -> {
                                    throw new IllegalStateException("no file left");
                                },
                                () -> closed.add("b"))));
        assertEquals(closed, List.of("links", "b"));
    }

    /** A process that is killed between two questions for its number ended the look for good. */
    @Test
    public void aLookAsksForTheProcessOnceAndTellsWhatIsWorthIt() {
        EventRecorder recorder = new EventRecorder();
        Iterator<OptionalLong> pids = List.of(OptionalLong.of(7), OptionalLong.empty(), OptionalLong.of(8))
                .iterator();
        CpuWaitPoller look = new CpuWaitPoller("s1", pids::next, pid -> pid == 7 ? 9 : 10, recorder);
        look.run();
        look.run();
        look.run();
        assertEquals(recorder.history().of(What.WAITED).map(Event::number).toList(), List.of(10L));
    }

    @DataProvider
    public static Object[][] connections() {
        return new Object[][] {{1, 300}, {13, 300}, {14, 285}, {200, 20}, {300, 13}};
    }

    /** Each may be three files of this process: a rig of hundreds ran out of 20,000. */
    @Test(dataProvider = "connections")
    public void clientsOfAllSidecarsTogetherHaveABound(int sidecars, int each) {
        assertEquals(Rig.connections(sidecars).most(), each);
    }

    /** Else a fault that ends a process would hide that it had ended by itself. */
    @Test
    public void aProcessThatEndedByItselfIsRecordedBeforeItIsKilled() throws Exception {
        EventRecorder recorder = new EventRecorder();
        List<List<InetSocketAddress>> reached = new ArrayList<>();
        String up = Event.of(1, What.UP, "m").saying("7,8").json();
        ManagedProcess.Command command = new ManagedProcess.Command(
                List.of("/bin/sh", "-c", "read x; echo '" + up + "'; read x"), Path.of("/"), Map.of());
        try (RigProcess process = new RigProcess(
                "m",
                recorder,
                Files.createTempDirectory("member"),
                disk -> command,
                Optional.empty(),
                Optional.of(() -> "task"),
                reached::add)) {
            process.start();
            assertEquals(reached.get(0).stream().map(InetSocketAddress::getPort).toList(), List.of(7, 8));
            process.kill();
            process.start();
            process.start();
            assertEquals(recorder.history().of(What.LOST).count(), 0L);
            process.send(() -> "end");
            while (process.rssKb() > 0) {
                Thread.sleep(10);
            }
            process.kill();
        }
        List<Event> events = recorder.history().events();
        assertEquals(
                events.stream().map(Event::what).toList(),
                List.of(What.UP, What.UP, What.STARTED, What.DOWN, What.STARTED, What.LOST));
    }
}
