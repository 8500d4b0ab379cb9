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
    interface CommandFactory {

        ManagedProcess.Command command(Path disk) throws IOException;
    }

    /** A line that is made when it is said. */
    interface LineFactory {

        String line();
    }

    private static final long MAX_START_S = 180;
    /** The platform's: SIGKILL comes no sooner after SIGTERM. */
    private static final long TERMINATION_TIMEOUT_MS = 3_700;

    private final String name;
    private final EventRecorder recorder;
    private final ManagedProcess program;
    private final CommandFactory commandFactory;
    /** Where it listens and what says that it is ready; empty: it says so itself, with its ports. */
    private final Optional<AuxiliaryProcess> readiness;
    /** The first line that it is told, for one that says itself that it is ready. */
    private final Optional<LineFactory> initialInput;
    /** Told where it listens now; of nothing when it is gone. */
    private final Consumer<List<InetSocketAddress>> addressListener;

    private volatile CompletableFuture<String> reportedPorts = new CompletableFuture<>();
    private final Object inputLock = new Object();
    private boolean shouldRun;
    /** No life is begun after the rig's end; guarded by the talk's lock, which no wait is made under. */
    private boolean closed;

    RigProcess(
            String name,
            EventRecorder recorder,
            Path folder,
            CommandFactory commandFactory,
            Optional<AuxiliaryProcess> readiness,
            Optional<LineFactory> initialInput,
            Consumer<List<InetSocketAddress>> addressListener)
            throws IOException {
        this.name = name;
        this.recorder = recorder;
        this.commandFactory = commandFactory;
        this.readiness = readiness;
        this.initialInput = initialInput;
        this.addressListener = addressListener;
        program =
                new ManagedProcess(name, folder.resolve(name), initialInput.isPresent() ? Optional.of(this::onLine)
                        : Optional.empty());
    }

    String name() {
        return name;
    }

    private void onLine(String line) {
        recorder.addLine(line);
        if (line.contains("\"UP\"")) {
            reportedPorts.complete(Event.read(line).text());
        }
    }

    /** What it wrote, over all its lives. */
    Path dataDirectory() {
        return program.dataDirectory();
    }

    /** A line for it; it is made once a new life has had its first line, and never before that. */
    void send(LineFactory line) {
        synchronized (inputLock) {
            program.writeLine(line.line());
        }
    }

    /**
     * Starts it and waits until it is ready, if it is not there: of two faults at one process, each of which brings it
     * back, the second may come while the first one's start still takes its time. A life that does not come up is
     * recorded as a process that was lost.
     */
    synchronized void start() throws IOException, InterruptedException {
        if (shouldRun) {
            return;
        }
        shouldRun = true;
        reportedPorts = new CompletableFuture<>();
        ManagedProcess.Command command = commandFactory.command(Files.createDirectories(program.dataDirectory()));
        recorder.recordNow(What.STARTED, name, "");
        synchronized (inputLock) {
            if (closed) {
                throw new InterruptedException("the rig is being closed");
            }
            program.start(command);
            initialInput.ifPresent(line -> program.writeLine(line.line()));
        }
        if (readiness.isPresent()) {
            if (ReadinessProbe.await(readiness.get().listen(), readiness.get().readyPath(), program::isAlive)) {
                recorder.recordNow(What.UP, name, "");
                addressListener.accept(List.of(readiness.get().listen()));
                return;
            }
        } else {
            try {
                addressListener.accept(addresses(reportedPorts.get(MAX_START_S, TimeUnit.SECONDS)));
                return;
            } catch (ExecutionException | TimeoutException never) {
                // Told below.
            }
        }
        recordLost("did not come up");
    }

    private static List<InetSocketAddress> addresses(String ports) {
        return Arrays.stream(ports.split(","))
                .map(Integer::parseInt)
                .map(port -> new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .toList();
    }

    private void recordLost(String how) {
        shouldRun = false;
        String said = program.readLog();
        recorder.recordNow(What.LOST, name, how + "; " + said.substring(Math.max(0, said.length() - 2_000)));
    }

    /** SIGKILL. It is recorded before, so that nothing that the kill caused stands before it. */
    synchronized void kill() throws IOException, InterruptedException {
        checkAlive();
        if (!shouldRun) {
            return;
        }
        shouldRun = false;
        recorder.recordNow(What.DOWN, name, "SIGKILL");
        program.signal(Signal.KILL);
        program.awaitEnd(TERMINATION_TIMEOUT_MS);
        addressListener.accept(List.of());
    }

    /** SIGTERM, and SIGKILL if that takes too long. */
    synchronized void terminate() throws IOException, InterruptedException {
        checkAlive();
        if (!shouldRun) {
            return;
        }
        shouldRun = false;
        recorder.recordNow(What.TERMINATED, name, "");
        program.signal(Signal.TERM);
        if (!program.awaitEnd(TERMINATION_TIMEOUT_MS)) {
            recorder.recordNow(What.DOWN, name, "SIGKILL, since it did not end");
            program.signal(Signal.KILL);
            program.awaitEnd(TERMINATION_TIMEOUT_MS);
        }
        addressListener.accept(List.of());
    }

    /** SIGSTOP or SIGCONT. */
    synchronized void setPaused(boolean paused) throws IOException {
        if (!shouldRun) {
            return;
        }
        if (paused) {
            recorder.recordNow(What.STOPPED, name, "");
        }
        program.signal(paused ? Signal.STOP : Signal.CONT);
        if (!paused) {
            recorder.recordNow(What.CONTINUED, name, "");
        }
    }

    /** What becomes of its disk before the next start. */
    synchronized void damageFiles(FaultKind kind) throws IOException {
        if (kind == FaultKind.KILL_WIPED) {
            program.deleteFiles();
        } else if (kind == FaultKind.KILL_TORN) {
            program.corruptNewestFile();
        }
    }

    /** Records it if it should live and does not; before each end on purpose too, which would hide the other. */
    synchronized void checkAlive() {
        if (shouldRun && !program.isAlive()) {
            recordLost("ended by itself");
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
        synchronized (inputLock) {
            closed = true;
            program.close();
        }
    }
}
