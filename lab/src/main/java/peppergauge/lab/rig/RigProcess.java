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
import peppergauge.lab.history.EventKind;
import peppergauge.lab.process.ManagedProcess;
import peppergauge.lab.process.ManagedProcess.Signal;
import peppergauge.lab.process.ReadinessProbe;

/**
 * A process of a rig, which can be started and ended repeatedly. The methods block and must not be called on an event
 * loop's thread; starts and ends are mutually exclusive.
 */
final class RigProcess implements Closeable {

    /** Creates the command for each start. */
    interface CommandFactory {

        ManagedProcess.Command command(Path directory) throws IOException;
    }

    /** Creates a line when it is sent. */
    interface LineFactory {

        String line();
    }

    private static final long MAX_START_S = 180;
    /** The platform sends SIGKILL no sooner than this after SIGTERM. */
    private static final long TERMINATION_TIMEOUT_MS = 3_700;

    private final String name;
    private final EventRecorder recorder;
    private final ManagedProcess program;
    private final CommandFactory commandFactory;
    /** Address and readiness check; empty if the process reports by itself that it is ready, with its ports. */
    private final Optional<AuxiliaryProcess> readiness;
    /** The first line of input, for a process that reports by itself that it is ready. */
    private final Optional<LineFactory> initialInput;
    /** Receives the addresses on which the process listens; an empty list when it has ended. */
    private final Consumer<List<InetSocketAddress>> addressListener;

    private volatile CompletableFuture<String> reportedPorts = new CompletableFuture<>();
    private final Object inputLock = new Object();
    private boolean shouldRun;
    /** Prevents starts after the end of the rig. Guarded by inputLock, which is never held while waiting. */
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
        program = new ManagedProcess(
                name, folder.resolve(name), initialInput.isPresent() ? Optional.of(this::onLine) : Optional.empty());
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

    /** Returns the directory with the files of all its runs. */
    Path dataDirectory() {
        return program.dataDirectory();
    }

    /** Sends a line to the process. The line is created after the initial input of a new run was sent, never before. */
    void send(LineFactory line) {
        synchronized (inputLock) {
            program.writeLine(line.line());
        }
    }

    /**
     * Starts the process and waits until it is ready, unless it runs already: of two faults that restart a process, the
     * second may come while the first is still starting it. A process that does not become ready is recorded as lost.
     */
    synchronized void start() throws IOException, InterruptedException {
        if (shouldRun) {
            return;
        }
        shouldRun = true;
        reportedPorts = new CompletableFuture<>();
        ManagedProcess.Command command = commandFactory.command(Files.createDirectories(program.dataDirectory()));
        recorder.recordNow(EventKind.STARTED, name, "");
        synchronized (inputLock) {
            if (closed) {
                throw new InterruptedException("the rig is being closed");
            }
            program.start(command);
            initialInput.ifPresent(line -> program.writeLine(line.line()));
        }
        if (readiness.isPresent()) {
            if (ReadinessProbe.await(readiness.get().listen(), readiness.get().readyPath(), program::isAlive)) {
                recorder.recordNow(EventKind.UP, name, "");
                addressListener.accept(List.of(readiness.get().listen()));
                return;
            }
        } else {
            try {
                addressListener.accept(addresses(reportedPorts.get(MAX_START_S, TimeUnit.SECONDS)));
                return;
            } catch (ExecutionException | TimeoutException never) {
                // Recorded below.
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
        recorder.recordNow(EventKind.LOST, name, how + "; " + said.substring(Math.max(0, said.length() - 2_000)));
    }

    /** Sends SIGKILL. The event is recorded before, so that it precedes all events that the kill causes. */
    synchronized void kill() throws IOException, InterruptedException {
        checkAlive();
        if (!shouldRun) {
            return;
        }
        shouldRun = false;
        recorder.recordNow(EventKind.DOWN, name, "SIGKILL");
        program.signal(Signal.KILL);
        program.awaitEnd(TERMINATION_TIMEOUT_MS);
        addressListener.accept(List.of());
    }

    /** Sends SIGTERM, and SIGKILL after a timeout. */
    synchronized void terminate() throws IOException, InterruptedException {
        checkAlive();
        if (!shouldRun) {
            return;
        }
        shouldRun = false;
        recorder.recordNow(EventKind.TERMINATED, name, "");
        program.signal(Signal.TERM);
        if (!program.awaitEnd(TERMINATION_TIMEOUT_MS)) {
            recorder.recordNow(EventKind.DOWN, name, "SIGKILL, since it did not end");
            program.signal(Signal.KILL);
            program.awaitEnd(TERMINATION_TIMEOUT_MS);
        }
        addressListener.accept(List.of());
    }

    /** Sends SIGSTOP or SIGCONT. */
    synchronized void setPaused(boolean paused) throws IOException {
        if (!shouldRun) {
            return;
        }
        if (paused) {
            recorder.recordNow(EventKind.STOPPED, name, "");
        }
        program.signal(paused ? Signal.STOP : Signal.CONT);
        if (!paused) {
            recorder.recordNow(EventKind.CONTINUED, name, "");
        }
    }

    /** Deletes or corrupts the data directory's files before the next start, according to the kind of the fault. */
    synchronized void damageFiles(FaultKind kind) throws IOException {
        if (kind == FaultKind.KILL_WIPED) {
            program.deleteFiles();
        } else if (kind == FaultKind.KILL_TORN) {
            program.corruptNewestFile();
        }
    }

    /**
     * Records the process as lost if it should run and does not. Also called before each intended end, which would hide
     * that.
     */
    synchronized void checkAlive() {
        if (shouldRun && !program.isAlive()) {
            recordLost("ended by itself");
        }
    }

    /** Returns the process ID, if the process runs. */
    OptionalLong pid() {
        return program.pid();
    }

    /** Returns the resident memory in KiB. */
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
