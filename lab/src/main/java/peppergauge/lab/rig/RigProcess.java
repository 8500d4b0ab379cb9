package peppergauge.lab.rig;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import peppergauge.lab.fault.FaultKind;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;
import peppergauge.lab.process.ManagedProcess;
import peppergauge.lab.process.ManagedProcess.Signal;
import peppergauge.lab.process.ReadinessProbe;

/** One process of a rig over all its lives. Its methods wait, and are not for a loop's thread; one runs at a time. */
final class RigProcess implements Closeable {

    /** How it is started, anew for each life. */
    interface Start {

        ManagedProcess.Command command(Path disk) throws IOException;
    }

    /** A line that is made when it is said. */
    interface Line {

        String line();
    }

    private static final long LONGEST_START_S = 180;
    /** The platform's: SIGKILL comes no sooner after SIGTERM. */
    private static final long TERMINATION_MS = 3_700;

    private final String name;
    private final EventRecorder recorder;
    private final ManagedProcess program;
    private final Start start;
    /** Where it listens and what says that it is ready; empty: it says so itself, with its ports. */
    private final Optional<AuxiliaryProcess> check;
    /** The first line that it is told, for one that says itself that it is ready. */
    private final Optional<Line> task;
    /** Told where it listens now; of nothing when it is gone. */
    private final Consumer<List<InetSocketAddress>> reach;

    private volatile CompletableFuture<String> ports = new CompletableFuture<>();
    private final Object talk = new Object();
    private boolean wanted;
    /** No life is begun after the rig's end; guarded by the talk's lock, which no wait is made under. */
    private boolean closed;

    RigProcess(
            String name,
            EventRecorder recorder,
            Path folder,
            Start start,
            Optional<AuxiliaryProcess> check,
            Optional<Line> task,
            Consumer<List<InetSocketAddress>> reach)
            throws IOException {
        this.name = name;
        this.recorder = recorder;
        this.start = start;
        this.check = check;
        this.task = task;
        this.reach = reach;
        program =
                new ManagedProcess(name, folder.resolve(name), task.isPresent() ? Optional.of(this::line) : Optional.empty());
    }

    String name() {
        return name;
    }

    private void line(String line) {
        recorder.line(line);
        if (line.contains("\"UP\"")) {
            ports.complete(Event.read(line).text());
        }
    }

    /** What it wrote, over all its lives. */
    Path disk() {
        return program.disk();
    }

    /** A line for it; it is made once a new life has had its first line, and never before that. */
    void say(Line line) {
        synchronized (talk) {
            program.say(line.line());
        }
    }

    /**
     * Starts it and waits until it is ready, if it is not there: of two faults at one process, each of which brings it
     * back, the second may come while the first one's start still takes its time. A life that does not come up is
     * recorded as a process that was lost.
     */
    synchronized void start() throws IOException, InterruptedException {
        if (wanted) {
            return;
        }
        wanted = true;
        ports = new CompletableFuture<>();
        ManagedProcess.Command command = start.command(Files.createDirectories(program.disk()));
        recorder.now(What.STARTED, name, "");
        synchronized (talk) {
            if (closed) {
                throw new InterruptedException("the rig is being closed");
            }
            program.start(command);
            task.ifPresent(line -> program.say(line.line()));
        }
        if (check.isPresent()) {
            if (ReadinessProbe.await(check.get().listen(), check.get().ready(), program::isAlive)) {
                recorder.now(What.UP, name, "");
                reach.accept(List.of(check.get().listen()));
                return;
            }
        } else {
            try {
                reach.accept(addresses(ports.get(LONGEST_START_S, TimeUnit.SECONDS)));
                return;
            } catch (ExecutionException | TimeoutException never) {
                // Told below.
            }
        }
        lost("did not come up");
    }

    private static List<InetSocketAddress> addresses(String ports) {
        return Arrays.stream(ports.split(","))
                .map(Integer::parseInt)
                .map(port -> new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .toList();
    }

    private void lost(String how) {
        wanted = false;
        String said = program.said();
        recorder.now(What.LOST, name, how + "; " + said.substring(Math.max(0, said.length() - 2_000)));
    }

    /** SIGKILL. It is recorded before, so that nothing that the kill caused stands before it. */
    synchronized void kill() throws IOException, InterruptedException {
        checkAlive();
        if (!wanted) {
            return;
        }
        wanted = false;
        recorder.now(What.DOWN, name, "SIGKILL");
        program.signal(Signal.KILL);
        program.awaitEnd(TERMINATION_MS);
        reach.accept(List.of());
    }

    /** SIGTERM, and SIGKILL if that takes too long. */
    synchronized void terminate() throws IOException, InterruptedException {
        checkAlive();
        if (!wanted) {
            return;
        }
        wanted = false;
        recorder.now(What.TERMINATED, name, "");
        program.signal(Signal.TERM);
        if (!program.awaitEnd(TERMINATION_MS)) {
            recorder.now(What.DOWN, name, "SIGKILL, since it did not end");
            program.signal(Signal.KILL);
            program.awaitEnd(TERMINATION_MS);
        }
        reach.accept(List.of());
    }

    /** SIGSTOP or SIGCONT. */
    synchronized void stand(boolean still) throws IOException {
        if (!wanted) {
            return;
        }
        if (still) {
            recorder.now(What.STOPPED, name, "");
        }
        program.signal(still ? Signal.STOP : Signal.CONT);
        if (!still) {
            recorder.now(What.CONTINUED, name, "");
        }
    }

    /** What becomes of its disk before the next start. */
    synchronized void disk(FaultKind after) throws IOException {
        if (after == FaultKind.KILL_WIPED) {
            program.wipe();
        } else if (after == FaultKind.KILL_TORN) {
            program.tear();
        }
    }

    /** Records it if it should live and does not; before each end on purpose too, which would hide the other. */
    synchronized void checkAlive() {
        if (wanted && !program.isAlive()) {
            lost("ended by itself");
        }
    }

    /** The number of its present life's process, if there is one. */
    OptionalLong pid() {
        return program.pid();
    }

    /** Resident memory, KiB. */
    long rssKb() {
        return program.rssKb();
    }

    @Override
    public void close() throws IOException {
        synchronized (talk) {
            closed = true;
            program.close();
        }
    }
}
