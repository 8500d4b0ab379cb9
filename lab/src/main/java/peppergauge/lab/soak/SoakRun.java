package peppergauge.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import peppergauge.lab.process.CpuWaitMeter;
import peppergauge.lab.process.ManagedProcess;
import peppergauge.lab.process.ManagedProcess.Signal;
import peppergauge.lab.process.ReadinessProbe;
import peppergauge.lab.process.SidecarProcess;

/** A run: starts all processes and stand-ins, performs the steps, ends the sidecar and returns the record. */
final class SoakRun implements Closeable {

    static final int MAX_DESCRIPTORS = 128;
    private static final int SERVERS = 5;
    /** SIGKILL comes no sooner than this after SIGTERM: the longest deadline, counted as 3 s, plus 0.7 s. */
    private static final long KILL_DELAY_MS = 3_700;

    private static final long MAX_START_MS = 20_000;
    /** The former discovery closes its watches this long after SIGHUP. */
    private static final long RETIRE_MS = 1_500;
    /** After SIGHUP, changes at the new discovery count as known to the sidecar no sooner than this. */
    private static final long DISCOVERY_MOVE_NS = 4_000_000_000L;

    private static final long DELAY_SAMPLE_MS = 5;
    private static final double MIN_DELAY_MS = 10;
    private static final long SAMPLE_INTERVAL_MS = 100;
    private static final String SETTINGS = """
            {"balancers":1,"me":0,"zone":0,"areas":["z0"],"tickMs":5,"overShareWorth":1,"registryMode":"subscribe",
             "limits":{"cancelling":true,"connIdleMs":4000,"connectTimeoutMs":200,"maxRetryAfterMs":1200,
                       "mayProbe":false,"mostTries":3,"parallelTries":false,"retryAfter":true},
             "profiles":[
               {"name":"read","aimMs":300,"deadlineMs":900,"worth":1,"lateWorth":0.3,"effect":"idempotent"},
               {"name":"pay","aimMs":400,"deadlineMs":1400,"worth":9,"lateWorth":0.3,"effect":"at_most_once"}],
             "rules":{"coldShare":0.3,"coldMs":100,"tipMultiple":2.5,"fallMs":3000,"drainGraceMs":%d},
             "tenants":[{"name":"acme","quotaPerS":1000}]}
            """;

    private final SoakFile file;
    private final List<String> command;
    private final Path workingDirectory;
    private final RunRecord runRecord = new RunRecord();
    private final Path folder = Files.createTempDirectory("soak");
    private final BackendServer.ServerFaults serverFaults = new BackendServer.ServerFaults();
    private final DiscoveryService discovery = new DiscoveryService();
    private final List<BackendServer> servers = new ArrayList<>();
    private final ExecutorService stepExecutor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "step");
        thread.setDaemon(true);
        return thread;
    });
    private final InetSocketAddress listen = SidecarProcess.freeAddress();
    private final CallFailureSteps callFailures;
    private final ManagedProcess program;
    private final SoakClients clients;
    private final MisbehavingClients misbehavingClients;
    /** Index of the discovery address in the configuration. */
    private int address;
    /** When SIGHUP last announced a new discovery address; 0 if it never did. */
    private long movedNs;

    private volatile boolean finished;

    /**
     * @param command the arguments that start the sidecar
     * @param workingDirectory the directory in which the command is run
     */
    SoakRun(SoakFile file, List<String> command, Path workingDirectory) throws IOException, InterruptedException {
        this.file = file;
        this.command = command;
        this.workingDirectory = workingDirectory;
        for (int i = 0; i < SERVERS; i++) {
            addServer();
        }
        callFailures = new CallFailureSteps(file.steps());
        program = new ManagedProcess("sidecar", folder.resolve("sidecar"), Optional.empty());
        clients = new SoakClients(listen, runRecord, file.run().seed());
        misbehavingClients = new MisbehavingClients(listen, runRecord);
    }

    private void addServer() throws IOException {
        BackendServer server = new BackendServer(
                "s" + servers.size(), runRecord, serverFaults, file.run().seed() + servers.size());
        servers.add(server);
        discovery.update(server.id(), server.address(), "active");
    }

    /** Makes the run and returns its record. */
    RunRecord run() throws IOException, InterruptedException {
        for (SoakStep step : steps(StepKind.TERMINATE_START)) {
            terminateStartup(step);
        }
        start();
        DaemonThreads.start("scheduling delay monitor", this::recordSchedulingDelays);
        DaemonThreads.start("process sampler", this::sampleProcess);
        clients.start();
        long beginNs = System.nanoTime();
        for (SoakStep step : file.steps()) {
            if (!step.what().isAfterTermination()) {
                schedule(beginNs, step);
            }
        }
        DaemonThreads.sleepUntil(beginNs + file.run().length().toNanos());
        if (program.isAlive()) {
            terminate();
        }
        finished = true;
        clients.stop();
        runRecord.log = program.readLog();
        return runRecord;
    }

    private List<SoakStep> steps(StepKind kind) {
        return file.steps().stream().filter(step -> step.what() == kind).toList();
    }

    // ---- The process ----

    private void start() throws IOException, InterruptedException {
        writeConfiguration(configuration(address));
        runRecord.startedNs = System.nanoTime();
        program.start(startCommand());
        if (ReadinessProbe.await(listen, "/up", program::isAlive)) {
            runRecord.readyNs = System.nanoTime();
        }
    }

    private ManagedProcess.Command startCommand() {
        Map<String, String> environment = new HashMap<>(callFailures.environment(listen.getPort()));
        environment.put("GW_CONFIG", folder.resolve("config.json").toString());
        environment.put("GW_DISCOVERY", discovery.address(0));
        return new ManagedProcess.Command(command, workingDirectory, environment);
    }

    private void terminateStartup(SoakStep step) throws IOException, InterruptedException {
        writeConfiguration(configuration(address));
        program.start(startCommand());
        Thread.sleep(step.time().toMillis());
        long sentNs = System.nanoTime();
        program.signal(Signal.TERM);
        program.awaitEnd(MAX_START_MS);
        runRecord.terminatedStartupMs = (System.nanoTime() - sentNs) / 1e6;
        program.close();
    }

    private void terminate() throws IOException, InterruptedException {
        if (!steps(StepKind.HANG_AT_THE_END).isEmpty()) {
            serverFaults.hang = true;
        }
        for (SoakStep step : steps(StepKind.CROWD_AT_THE_END)) {
            runRecord.connectionLimitPeriods.add(
                    new RunRecord.ConnectionLimitPeriod(System.nanoTime(), Long.MAX_VALUE));
            misbehavingClients.openIdleConnections(step.count());
        }
        program.signal(Signal.TERM);
        runRecord.terminatedNs = System.nanoTime();
        clients.onTerminated(
                runRecord.terminatedNs, !steps(StepKind.REST_AT_THE_END).isEmpty());
        for (SoakStep step : file.steps()) {
            if (step.what().isAfterTermination()) {
                schedule(runRecord.terminatedNs, step);
            }
        }
        if (!program.awaitEnd(KILL_DELAY_MS)) {
            runRecord.killed = true;
            program.signal(Signal.KILL);
            program.awaitEnd(KILL_DELAY_MS);
        }
        runRecord.endedNs = System.nanoTime();
    }

    private String configuration(int discoveryAddress) {
        return configuration(discovery.address(discoveryAddress));
    }

    private String configuration(String discoveryAddress) {
        return "{\"name\":\"n\",\"listen\":\"" + listen.getHostString() + ':' + listen.getPort() + "\",\"discovery\":\""
                + discoveryAddress + "\",\"seed\":\""
                + Long.toHexString(file.run().seed())
                + "\",\"limits\":{\"sockets\":" + MAX_DESCRIPTORS + "},\"known\":" + discovery.knownEndpoints()
                + ",\"settings\":"
                + SETTINGS.formatted(file.run().grace().toMillis()) + "}";
    }

    /** Replaces the configuration atomically: a reader gets the former text or the new one. */
    private void writeConfiguration(String text) throws IOException {
        Path fresh = Files.writeString(folder.resolve("config.fresh"), text);
        Files.move(fresh, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    // ---- Steps ----

    private void schedule(long beginNs, SoakStep step) {
        stepExecutor.execute(() -> {
            try {
                DaemonThreads.sleepUntil(beginNs + step.time().toNanos());
                if (program.isAlive()) {
                    perform(step);
                }
            } catch (IOException gone) {
                // The process or the run has ended.
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void perform(SoakStep step) throws IOException, InterruptedException {
        switch (step.what()) {
            case MOVE_DISCOVERY -> moveDiscovery();
            case SAME_CONFIGURATION, HANG_UP_AT_THE_END -> sendSighup();
            case TORN_CONFIGURATION -> truncateConfiguration();
            case WRONG_CONFIGURATION -> writeInvalidConfiguration();
            case DISCOVERY_SILENT -> discovery.silence(step.length().toMillis());
            case DISCOVERY_SLOW -> enableDuring(step, discovery::setSlow);
            case DISCOVERY_CROWDED -> enableDuring(step, discovery::setOverloaded);
            case WATCHES_SILENT -> discovery.breakWatches();
            case RESET_WATCHES -> discovery.resetWatches();
            case DRAIN -> drainServer();
            case SERVERS_HANG -> enableDuring(step, now -> serverFaults.hang = now);
            case SERVERS_FAIL -> enableDuring(step, now -> serverFaults.fail = now);
            case IDLE_CONNECTIONS_END -> servers.forEach(BackendServer::endIdleConnections);
            case HOLD -> pauseProcess(step);
            case CROWD -> {
                long fromNs = System.nanoTime();
                misbehavingClients.openIdleConnections(step.count());
                Thread.sleep(step.length().toMillis());
                misbehavingClients.closeIdleConnections();
                runRecord.connectionLimitPeriods.add(new RunRecord.ConnectionLimitPeriod(fromNs, System.nanoTime()));
            }
            case HALF_REQUESTS -> misbehavingClients.sendPartialRequests(step.count());
            case CALLS_FAIL -> callFailures.perform(step, runRecord.callFailures);
            case QUIET -> enableDuring(step, clients::setQuiet);
            case TERMINATE_AGAIN -> program.signal(Signal.TERM);
            default -> {
                // Steps before the start or during shutdown are handled elsewhere.
            }
        }
    }

    /** A state that is on for a step's duration. */
    private interface Toggle {

        void set(boolean now);
    }

    private static void enableDuring(SoakStep step, Toggle what) throws InterruptedException {
        what.set(true);
        Thread.sleep(step.length().toMillis());
        what.set(false);
    }

    private synchronized void sendSighup() throws IOException {
        program.signal(Signal.HUP);
    }

    private synchronized void moveDiscovery() throws IOException {
        address = 1 - address;
        writeConfiguration(configuration(address));
        program.signal(Signal.HUP);
        movedNs = System.nanoTime();
        int moved = address;
        stepExecutor.execute(() -> retireFormerDiscovery(moved, movedNs));
    }

    private void retireFormerDiscovery(int moved, long atNs) {
        try {
            DaemonThreads.sleepUntil(atNs + RETIRE_MS * 1_000_000);
            synchronized (this) {
                if (moved == address && atNs == movedNs) {
                    discovery.retireAllBut(moved);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Truncates the configuration; the next complete one corrects it. */
    private synchronized void truncateConfiguration() throws IOException {
        String whole = configuration(address);
        Files.writeString(folder.resolve("config.json"), whole.substring(0, whole.length() / 2));
        program.signal(Signal.HUP);
    }

    private synchronized void writeInvalidConfiguration() throws IOException {
        writeConfiguration(configuration("nowhere"));
        program.signal(Signal.HUP);
    }

    private synchronized void drainServer() throws IOException {
        addServer();
        BackendServer server = servers.get(servers.size() - 1 - SERVERS);
        long effectiveNs = discovery.update(server.id(), server.address(), "leaving");
        runRecord.drainingServers.add(new RunRecord.DrainingServer(
                server.id(),
                movedNs == 0 || effectiveNs - movedNs > DISCOVERY_MOVE_NS ? effectiveNs : movedNs + DISCOVERY_MOVE_NS));
    }

    private void pauseProcess(SoakStep step) throws IOException, InterruptedException {
        program.signal(Signal.STOP);
        Thread.sleep(step.length().toMillis());
        program.signal(Signal.CONT);
    }

    // ---- Measurements ----

    /** Records the delays of a sleeping thread, since the stand-ins are delayed as well. */
    private void recordSchedulingDelays() throws InterruptedException {
        while (!finished) {
            long startNs = System.nanoTime();
            Thread.sleep(DELAY_SAMPLE_MS);
            double lateMs = (System.nanoTime() - startNs) / 1e6 - DELAY_SAMPLE_MS;
            if (lateMs > MIN_DELAY_MS) {
                runRecord.machineDelays.add(new RunRecord.MachineDelay(startNs, System.nanoTime(), lateMs));
            }
        }
    }

    private void sampleProcess() throws IOException, InterruptedException {
        CpuWaitMeter waits = new CpuWaitMeter();
        CpuWaitMeter ownWaits = new CpuWaitMeter();
        long lastNs = System.nanoTime();
        while (!finished && program.pid().isPresent()) {
            long pid = program.pid().getAsLong();
            // A request passes two threads of the stand-ins, a client's and a server's, and the sidecar's event loop.
            double waitedMs = waits.sinceLastMs(pid)
                    + 2 * ownWaits.longestSinceLastMs(ProcessHandle.current().pid());
            long nowNs = System.nanoTime();
            if (waitedMs > MIN_DELAY_MS) {
                runRecord.machineDelays.add(new RunRecord.MachineDelay(lastNs, nowNs, waitedMs));
            }
            lastNs = nowNs;
            try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
                runRecord.resourceSamples.add(
                        new RunRecord.ResourceSample(System.nanoTime(), (int) open.count(), program.rssKb()));
            }
            Thread.sleep(SAMPLE_INTERVAL_MS);
        }
    }

    @Override
    public void close() throws IOException {
        finished = true;
        stepExecutor.shutdownNow();
        program.close();
        misbehavingClients.closeIdleConnections();
        for (BackendServer server : servers) {
            server.close();
        }
        discovery.close();
        callFailures.close();
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }
}
