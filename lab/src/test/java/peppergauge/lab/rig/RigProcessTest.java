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
import peppergauge.lab.history.EventKind;
import peppergauge.lab.process.ManagedProcess;
import peppergauge.lab.wire.Listener;
import peppergauge.lab.wire.Loop;

public class RigProcessTest {

    private static final ManagedProcess.Command SLEEP =
            new ManagedProcess.Command(List.of("sleep", "600"), Path.of("/"), Map.of());

    /** A start in progress at the end of the rig would otherwise leave a process behind. */
    @Test
    public void doesNotStartAfterClose() throws Exception {
        RigProcess process = new RigProcess(
                "m",
                new EventRecorder(),
                Files.createTempDirectory("member"),
                directory -> SLEEP,
                Optional.empty(),
                Optional.of(() -> "task"),
                at -> {});
        process.close();
        assertThrows(InterruptedException.class, process::start);
        assertFalse(process.pid().isPresent());
    }

    /**
     * Prints the number of open links and the ID of a process that was started, and closed while this process had no
     * free file descriptors.
     */
    public static final class OutOfDescriptors {

        /** @param args none */
        public static void main(String[] args) throws Exception {
            ManagedProcess sleeper =
                    new ManagedProcess("sleeper", Files.createTempDirectory("sleeper"), Optional.empty());
            sleeper.start(SLEEP);
            long pid = sleeper.pid().getAsLong();
            // Loads the classes that the first close needs while there are free descriptors, as in a running rig.
            Rig.close(Loop.sleeping("before"), List.of());
            Loop loop = Loop.sleeping("files");
            List<Listener> open = new ArrayList<>();
            try {
                while (open.add(new Listener(loop, channel -> null))) {
                    // Opens listeners until no descriptor is free.
                }
            } catch (IOException none) {
                loop.start();
                Rig.close(loop, List.of(sleeper));
            }
            System.out.println(open.size() + " " + pid);
        }
    }

    /** Java ends no process without a free descriptor, so the sidecars of such a rig kept running. */
    @Test
    public void endsProcessesWithoutFreeDescriptorsAfterClosingLinks() throws Exception {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        try (ManagedProcess limited =
                new ManagedProcess("few", Files.createTempDirectory("few"), Optional.of(lines::add))) {
            limited.start(new ManagedProcess.Command(
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
                            OutOfDescriptors.class.getName()),
                    Path.of("").toAbsolutePath(),
                    Map.of()));
            String[] said = lines.poll(60, TimeUnit.SECONDS).split(" ");
            assertTrue(Integer.parseInt(said[0]) > 10, "links are open before descriptors run out");
            assertFalse(ProcessHandle.of(Long.parseLong(said[1]))
                    .filter(ProcessHandle::isAlive)
                    .isPresent());
        }
    }

    /** A process that cannot be closed must not keep the others running. */
    @Test
    public void closesAllAfterOneFails() {
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

    /** A process that was killed between two reads of its ID used to end the polling for good. */
    @Test
    public void pollReadsProcessIdOnceAndRecordsLongWaits() {
        EventRecorder recorder = new EventRecorder();
        Iterator<OptionalLong> pids = List.of(OptionalLong.of(7), OptionalLong.empty(), OptionalLong.of(8))
                .iterator();
        CpuWaitPoller poller = new CpuWaitPoller("s1", pids::next, pid -> pid == 7 ? 9 : 10, recorder);
        poller.run();
        poller.run();
        poller.run();
        assertEquals(recorder.history().of(EventKind.WAITED).map(Event::number).toList(), List.of(10L));
    }

    @DataProvider
    public static Object[][] connections() {
        return new Object[][] {{1, 300}, {13, 300}, {14, 285}, {200, 20}, {300, 13}};
    }

    /** A connection may take three descriptors of this process: a rig of hundreds of sidecars exceeded 20,000. */
    @Test(dataProvider = "connections")
    public void limitsConnectionsOfAllClients(int sidecars, int each) {
        assertEquals(Rig.connections(sidecars).maxConnections(), each);
    }

    /** A fault that ends a process would otherwise hide that it had ended by itself. */
    @Test
    public void recordsUnexpectedEndBeforeKill() throws Exception {
        EventRecorder recorder = new EventRecorder();
        List<List<InetSocketAddress>> addresses = new ArrayList<>();
        String up = Event.of(1, EventKind.UP, "m").withText("7,8").json();
        ManagedProcess.Command command = new ManagedProcess.Command(
                List.of("/bin/sh", "-c", "read x; echo '" + up + "'; read x"), Path.of("/"), Map.of());
        try (RigProcess process = new RigProcess(
                "m",
                recorder,
                Files.createTempDirectory("member"),
                directory -> command,
                Optional.empty(),
                Optional.of(() -> "task"),
                addresses::add)) {
            process.start();
            assertEquals(
                    addresses.get(0).stream().map(InetSocketAddress::getPort).toList(), List.of(7, 8));
            process.kill();
            process.start();
            process.start();
            assertEquals(recorder.history().of(EventKind.LOST).count(), 0L);
            process.send(() -> "end");
            while (process.rssKb() > 0) {
                Thread.sleep(10);
            }
            process.kill();
        }
        List<Event> events = recorder.history().events();
        assertEquals(
                events.stream().map(Event::what).toList(),
                List.of(
                        EventKind.UP,
                        EventKind.UP,
                        EventKind.STARTED,
                        EventKind.DOWN,
                        EventKind.STARTED,
                        EventKind.LOST));
    }
}
