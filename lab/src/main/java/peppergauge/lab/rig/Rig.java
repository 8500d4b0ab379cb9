package peppergauge.lab.rig;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import peppergauge.daemon.file.DaemonFile;
import peppergauge.fleet.client.FleetClientConfig;
import peppergauge.fleet.file.FleetSection;
import peppergauge.lab.fault.ScheduledFault;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.history.History;
import peppergauge.lab.history.HistoryRules;
import peppergauge.lab.history.RuleLimits;
import peppergauge.lab.load.Generator;
import peppergauge.lab.play.DaemonLauncher;
import peppergauge.lab.process.CpuWaitMeter;
import peppergauge.lab.relay.ConnectionObserver;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.wire.Loop;
import peppergauge.operator.OperatorFiles;

/**
 * Starts processes and injects faults between them under load. One thread serves all links and clients; a pool starts
 * and ends processes. An instance makes one run, and closing it leaves no process behind.
 */
public final class Rig implements Closeable {

    /**
     * Parameters of a run.
     *
     * @param file the scenario, and the faults of the first round
     * @param furtherRounds faults of further rounds over the same processes, each started once the previous one is over
     * @param folder directory for the processes' files and logs
     * @param limits limits of the rules; a round ends when service has recovered by them
     * @param observerWrapper wraps the observers of links to servers, for planted faults
     */
    public record Plan(
            RigFile file,
            List<List<ScheduledFault>> furtherRounds,
            LaunchCommands commands,
            DiscoveryCapacity capacity,
            List<AuxiliaryProcess> auxiliaryProcesses,
            Path folder,
            RuleLimits limits,
            UnaryOperator<ConnectionObserver> observerWrapper) {

        /** Creates a plan with one round. */
        public Plan(
                RigFile file,
                LaunchCommands commands,
                DiscoveryCapacity capacity,
                List<AuxiliaryProcess> auxiliaryProcesses,
                Path folder,
                RuleLimits limits,
                UnaryOperator<ConnectionObserver> observerWrapper) {
            this(file, List.of(), commands, capacity, auxiliaryProcesses, folder, limits, observerWrapper);
        }
    }

    /** Maximum connections of one sidecar's clients. */
    private static final int MAX_CONNECTIONS_PER_SIDECAR = 300;
    /** Maximum connections of all clients; a waiting connection takes three file descriptors of this process. */
    private static final int MAX_CONNECTIONS = 4_000;
    /** Interval of checks for open requests at the end. */
    private static final double POLL_INTERVAL_MS = 50;

    private static final double MIN_STATUS_INTERVAL_MS = 300;
    private static final double STATUS_INTERVAL_PER_SIDECAR_MS = 10;
    /** A check for open requests is repeated if the event loop does not run it within this time. */
    private static final long MAX_LOOP_STALL_S = 5;

    private static final long MAX_RECOVERY_WAIT_NS = 90_000_000_000L;
    private static final long MAX_SETTLING_WAIT_NS = 30_000_000_000L;

    private final Plan plan;
    private final Scenario scenario;
    private final EventRecorder recorder = new EventRecorder();
    private final Loop loop = Loop.sleeping("rig");
    private final ExecutorService workers = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "rig worker");
        thread.setDaemon(true);
        return thread;
    });
    private final RigTopology topology;
    /** Sources and generators of the load; used only on the event loop's thread. */
    private final List<SidecarLoad> sources = new ArrayList<>();

    private final List<Generator> generators = new ArrayList<>();
    /** Used only on the event loop's thread. */
    private FaultInjector faultInjector;

    private volatile Throwable failure;

    /**
     * Opens all links without starting a process.
     *
     * @throws IOException if ports or directories are not available
     */
    public Rig(Plan plan) throws IOException {
        this.plan = plan;
        scenario = plan.file().scenario();
        topology = new RigTopology(plan, loop, recorder);
    }

    // ---- The run ----

    /**
     * Starts all processes, injects the faults under load and returns the recorded events.
     *
     * @throws IOException if a process cannot be started or the event loop's thread failed
     */
    public History run() throws IOException, InterruptedException {
        loop.onFailure(thrown -> failure = thrown);
        loop.start();
        startInParallel(topology.processes().values().stream()
                .filter(process -> !process.name().startsWith("sidecar-"))
                .toList());
        startInParallel(topology.processes().values().stream()
                .filter(process -> process.name().startsWith("sidecar-"))
                .toList());
        LoopDelayGate.awaitSettled(loop, MAX_SETTLING_WAIT_NS);
        loop.post(this::startLoad);
        pollFleetTables();
        pollCpuWaits();
        runRound(plan.file().faults());
        for (List<ScheduledFault> faults : plan.furtherRounds()) {
            runRound(faults);
        }
        recorder.recordNow(EventKind.END, "rig", "");
        loop.post(() -> sources.forEach(SidecarLoad::stop));
        awaitLastResponses();
        // The last output of servers may still be in their pipes.
        sleepMs(5 * POLL_INTERVAL_MS);
        topology.processes().values().forEach(RigProcess::checkAlive);
        if (hasFleetTables()) {
            RigFile.sidecars(scenario).forEach(name -> FleetStatusPoller.recordCounts(socket(name), name, recorder));
        }
        if (failure != null) {
            throw new IOException("the rig's event loop failed", failure);
        }
        return recorder.history();
    }

    private void runRound(List<ScheduledFault> faults) throws InterruptedException {
        loop.post(() -> {
            recorder.recordNow(EventKind.ROUND, "rig", "");
            faultInjector.schedule(faults, System.nanoTime());
        });
        sleepMs(Scenario.toMillis(scenario.run().length()));
        awaitRecovery();
    }

    /**
     * Waits for recovery. On a busy machine processes take long to restart, so the run continues while there is
     * something to observe.
     */
    private void awaitRecovery() throws InterruptedException {
        long untilNs = System.nanoTime() + MAX_RECOVERY_WAIT_NS;
        while (!HistoryRules.isOver(recorder.history(), plan.limits(), System.nanoTime())
                && System.nanoTime() < untilNs
                && failure == null) {
            sleepMs(5 * POLL_INTERVAL_MS);
        }
    }

    /** Waits for the last responses. Requests that are open after this time have no end in the history. */
    private void awaitLastResponses() throws InterruptedException {
        long untilNs = System.nanoTime() + (long) (1e6 * SidecarLoad.maxResponseTimeMs(scenario));
        boolean stopped = false;
        while (!stopped && failure == null) {
            sleepMs(POLL_INTERVAL_MS);
            CompletableFuture<Boolean> poll = new CompletableFuture<>();
            loop.post(() -> poll.complete(stopIfFinished(System.nanoTime() - untilNs >= 0)));
            stopped = poll.completeOnTimeout(false, MAX_LOOP_STALL_S, TimeUnit.SECONDS)
                    .join();
        }
    }

    /** Checks and stops in one task: a request that began between the two would have no end. */
    private boolean stopIfFinished(boolean force) {
        boolean over = force || sources.stream().allMatch(source -> source.openRequests() == 0);
        if (over) {
            generators.forEach(Generator::stop);
        }
        return over;
    }

    private void startLoad() {
        long beginNs = System.nanoTime();
        recorder.add(Event.of(beginNs, EventKind.BEGIN, "rig"));
        SchedulingDelayMonitor.start(loop, "rig", recorder::add);
        String run = Long.toHexString(beginNs);
        for (int i = 0; i < scenario.sidecars().count(); i++) {
            String name = TopologyNames.sidecar(i);
            SidecarLoad source =
                    new SidecarLoad(scenario, recorder, name, run, topology.seed("clients of " + name), rate(i));
            Generator generator = new Generator(
                    loop,
                    topology.link(TopologyNames.CLIENTS, name).address(),
                    connections(scenario.sidecars().count()),
                    source);
            source.setGenerator(generator);
            sources.add(source);
            generators.add(generator);
        }
        faultInjector = new FaultInjector(loop, workers, recorder, topology, scenario);
    }

    /**
     * Returns fewer connections per sidecar for hundreds of sidecars: if all of them stall at once, this process would
     * have no free file descriptors.
     */
    static Generator.Shape connections(long sidecars) {
        return new Generator.Shape(
                2, (int) Math.min(MAX_CONNECTIONS_PER_SIDECAR, MAX_CONNECTIONS / sidecars), false, false);
    }

    /** Returns whether sidecars are daemons with auxiliary processes, such as instances of the fleet service. */
    private boolean hasFleetTables() {
        return plan.commands().daemons().isPresent()
                && !plan.auxiliaryProcesses().isEmpty();
    }

    private Path socket(String sidecar) {
        return topology.processes().get(sidecar).dataDirectory().resolve("admin.sock");
    }

    private void pollFleetTables() {
        if (!hasFleetTables()) {
            return;
        }
        for (String sidecar : RigFile.sidecars(scenario)) {
            pollUntilClosed(() -> FleetStatusPoller.recordTable(socket(sidecar), sidecar, recorder));
        }
        for (AuxiliaryProcess program : plan.auxiliaryProcesses()) {
            pollUntilClosed(() -> FleetStatusPoller.recordInstanceStatus(program, recorder));
        }
    }

    /**
     * Polls until the rig is closed. The interval grows with the number of sidecars, since each poll costs the polled
     * process CPU time.
     */
    private void pollUntilClosed(Runnable poll) {
        double pauseMs = Math.max(
                MIN_STATUS_INTERVAL_MS,
                STATUS_INTERVAL_PER_SIDECAR_MS * scenario.sidecars().count());
        workers.execute(() -> {
            try {
                while (!workers.isShutdown()) {
                    poll.run();
                    sleepMs(pauseMs);
                }
            } catch (InterruptedException closing) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Records waits for CPU time, so that a sidecar without CPU time is not taken for one that is late by itself. */
    private void pollCpuWaits() {
        for (String sidecar : RigFile.sidecars(scenario)) {
            RigProcess process = topology.processes().get(sidecar);
            pollUntilClosed(new CpuWaitPoller(sidecar, process::pid, new CpuWaitMeter()::sinceLastMs, recorder));
        }
    }

    private double rate(int sidecar) {
        double all = 0;
        for (int i = 0; i < scenario.sidecars().count(); i++) {
            all += Math.pow(i + 1.0, -scenario.sidecars().skew());
        }
        return scenario.clients().rate()
                * Math.pow(sidecar + 1.0, -scenario.sidecars().skew())
                / all;
    }

    private void startInParallel(List<RigProcess> group) throws IOException, InterruptedException {
        List<Future<?>> starts = new ArrayList<>();
        for (RigProcess process : group) {
            starts.add(workers.submit(() -> {
                process.start();
                return null;
            }));
        }
        for (int i = 0; i < starts.size(); i++) {
            try {
                starts.get(i).get();
            } catch (ExecutionException failed) {
                throw new IOException(
                        "process " + group.get(i).name() + " of the rig could not be started", failed.getCause());
            }
        }
    }

    private static void sleepMs(double ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) ms);
    }

    /** Returns the limits of the rules for a scenario. */
    public static RuleLimits limits(Scenario scenario, double maxRecoveryMs, double windowMs) {
        return RuleLimits.of(
                Scenario.toMillis(scenario.rules().answerSlack()),
                Scenario.toMillis(scenario.rules().drainGrace()),
                maxRecoveryMs,
                windowMs);
    }

    /** Returns the limits with the step limits of the daemons' tables. */
    static RuleLimits withStepLimits(RuleLimits limits, LaunchCommands commands) {
        String file = "kind = \"daemon\"\n[sidecar]\nconfig = \"c\"\n[admin]\nsocket = \"s\"\n"
                + commands.daemons()
                        .flatMap(DaemonLauncher::tables)
                        .orElse("")
                        .replaceAll("\\{link:[^}]*}", "127.0.0.1:1");
        return new OperatorFiles(List.of(DaemonFile.KIND))
                .read("daemon.toml", file)
                .values()
                .flatMap(FleetSection::settings)
                .map(FleetClientConfig::tableLimits)
                .map(reader -> limits.withSteps(reader.maxStep(), reader.stepIntervalMs()))
                .orElse(limits);
    }

    /** Returns the resident memory of all processes, grouped by the first part of their names, in KiB. */
    public Map<String, Long> rssKb() {
        return topology.processes().values().stream()
                .collect(Collectors.groupingBy(
                        process -> process.name().replaceFirst("-.*", ""),
                        TreeMap::new,
                        Collectors.summingLong(RigProcess::rssKb)));
    }

    /** Returns the recorder, for code that records events of its own. */
    public EventRecorder recorder() {
        return recorder;
    }

    /** Kills all processes. */
    @Override
    public void close() throws IOException {
        workers.shutdownNow();
        close(loop, topology.processes().values());
    }

    /**
     * Closes all of them even if some fail, and throws the first failure at the end. The links are closed first:
     * without free file descriptors Java cannot end any process.
     */
    static void close(Closeable links, Collection<? extends Closeable> processes) throws IOException {
        List<Closeable> all = new ArrayList<>(processes);
        all.add(0, links);
        IOException first = null;
        for (Closeable each : all) {
            try {
                each.close();
            } catch (IOException | RuntimeException failed) {
                first = first == null
                        ? new IOException("links or processes of the rig could not be closed", failed)
                        : first;
            }
        }
        if (first != null) {
            throw first;
        }
    }
}
