package peppergauge.lab.emulator;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ClassStatistics;
import peppergauge.decision.LearnedState.ClusterStatistics;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;
import peppergauge.decision.LoadBalancer;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.ClientSettings;
import peppergauge.lab.scenario.Incident;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.restore.StateRestoringLoadBalancer;

/**
 * Measures the gain or loss of service from a snapshot in the 10 s after a crash of all sidecars, compared with a
 * restart without a snapshot, in pairs of runs that differ in the snapshot only. Usage: {@code java -cp
 * peppergauge-lab.jar peppergauge.lab.emulator.RestartGain scenarios/calm.toml 200}.
 */
final class RestartGain {

    static final double CRASH_S = 20;
    private static final int DOWNTIME_S = 1;
    private static final int MEASURED_S = 10;
    private static final double EXPORT_INTERVAL_MS = 1_000;

    /** Service of each restart without a snapshot; it is compared with several snapshots. */
    private static final Map<String, Double> COLD = new ConcurrentHashMap<>();

    private RestartGain() {}

    /** Snapshot that a restarted sidecar restores. */
    enum SnapshotVariant {
        NO_SNAPSHOT(-1),
        SECOND(0),
        MINUTE(59_000),
        HOUR(3_599_000),
        /** Each server has another server's statistics, so failing servers appear healthy and vice versa. */
        SHUFFLED(0),
        /** Learned latencies are a third of the real ones, or three times the real ones. */
        TOO_FAST(0),
        TOO_SLOW(0),
        /** Every server except the first two appears to have failed each request. */
        ALL_BAD(0),
        /** Learned arrival rate and sample weights are a tenth of the real ones, or ten times the real ones. */
        RARE(0),
        CROWDED(0);

        /** Age of the snapshot in addition to the time that passes in the run; negative if there is no snapshot. */
        final double agedMs;

        SnapshotVariant(double agedMs) {
            this.agedMs = agedMs;
        }

        LearnedState distorted(LearnedState learned) {
            return switch (this) {
                case SHUFFLED -> with(learned, learned.cluster(), shuffled(learned.servers()));
                case TOO_FAST -> scaled(learned, 1 / 3.0);
                case TOO_SLOW -> scaled(learned, 3);
                case ALL_BAD -> with(learned, learned.cluster(), withFailedServers(learned.servers()));
                case RARE -> with(learned, reweighted(learned.cluster(), 0.1), learned.servers());
                case CROWDED -> with(learned, reweighted(learned.cluster(), 10), learned.servers());
                default -> learned;
            };
        }
    }

    private static LearnedState with(LearnedState learned, ClusterStatistics fleet, List<ServerStatistics> known) {
        return new LearnedState(learned.serverCount(), fleet, learned.classes(), known);
    }

    private static List<ServerStatistics> shuffled(List<ServerStatistics> known) {
        List<ServerStatistics> other = new ArrayList<>();
        for (int i = 0; i < known.size(); i++) {
            ServerStatistics at = known.get(i);
            ServerStatistics of = known.get((i + known.size() / 2) % known.size());
            other.add(new ServerStatistics(
                    at.server(),
                    at.startedMs(),
                    of.latency(),
                    of.failures(),
                    of.errors(),
                    of.recentErrors(),
                    of.unloadedMs(),
                    of.ejectionLeftMs()));
        }
        return other;
    }

    private static List<ServerStatistics> withFailedServers(List<ServerStatistics> known) {
        return known.stream()
                .skip(2)
                .map(each -> new ServerStatistics(
                        each.server(),
                        each.startedMs(),
                        each.latency(),
                        new WeightedSum(
                                each.failures().weight(), each.failures().weight()),
                        each.errors(),
                        new WeightedSum(
                                each.recentErrors().weight(),
                                each.recentErrors().weight()),
                        each.unloadedMs(),
                        2_000))
                .toList();
    }

    private static WeightedSum times(WeightedSum figure, double factor) {
        return new WeightedSum(figure.sum() * factor, figure.weight());
    }

    private static LearnedState scaled(LearnedState learned, double factor) {
        ClusterStatistics fleet = learned.cluster();
        ClusterStatistics other = new ClusterStatistics(
                fleet.observedMs(),
                times(fleet.latency(), factor),
                times(fleet.idleLatency(), factor),
                fleet.errors(),
                fleet.inFlight(),
                fleet.othersInFlight(),
                times(fleet.reportedServiceTime(), factor),
                fleet.reportedUtilization(),
                fleet.reportedRate(),
                times(fleet.covariance(), factor),
                fleet.variance(),
                fleet.arrivals(),
                fleet.queueingSlope(),
                fleet.unloadedMs() * factor);
        List<ClassStatistics> classes = learned.classes().stream()
                .map(kind -> new ClassStatistics(
                        times(kind.latency(), factor), times(kind.overall(), factor), kind.factor()))
                .toList();
        return new LearnedState(
                learned.serverCount(),
                other,
                classes,
                learned.servers().stream()
                        .map(each -> new ServerStatistics(
                                each.server(),
                                each.startedMs(),
                                times(each.latency(), factor),
                                each.failures(),
                                each.errors(),
                                each.recentErrors(),
                                each.unloadedMs() * factor,
                                each.ejectionLeftMs()))
                        .toList());
    }

    private static WeightedSum scaledWeight(WeightedSum figure, double factor) {
        return new WeightedSum(figure.sum() * factor, figure.weight() * factor);
    }

    private static ClusterStatistics reweighted(ClusterStatistics fleet, double factor) {
        return new ClusterStatistics(
                fleet.observedMs(),
                scaledWeight(fleet.latency(), factor),
                scaledWeight(fleet.idleLatency(), factor),
                fleet.errors(),
                fleet.inFlight(),
                fleet.othersInFlight(),
                fleet.reportedServiceTime(),
                fleet.reportedUtilization(),
                fleet.reportedRate(),
                fleet.covariance(),
                fleet.variance(),
                scaledWeight(fleet.arrivals(), factor),
                fleet.queueingSlope(),
                fleet.unloadedMs());
    }

    /** Exports each load balancer's state once per second, and restores it in the load balancer of the next process. */
    private static final class SnapshotRestoring implements PlantedFault {

        private final SnapshotVariant variant;
        private final Map<Integer, SnapshotTakingLoadBalancer> balancers = new HashMap<>();

        SnapshotRestoring(SnapshotVariant variant) {
            this.variant = variant;
        }

        @Override
        public LoadBalancer wrap(LoadBalancer loadBalancer, LoadBalancer.Settings settings, long seed) {
            SnapshotTakingLoadBalancer before = balancers.get(settings.instance());
            SnapshotTakingLoadBalancer now = new SnapshotTakingLoadBalancer(loadBalancer);
            balancers.put(settings.instance(), now);
            if (before != null && before.learned != null && variant != SnapshotVariant.NO_SNAPSHOT) {
                now.previous = before;
                now.agedMs = variant.agedMs;
                now.variant = variant;
            }
            return now;
        }
    }

    private static final class SnapshotTakingLoadBalancer implements LoadBalancer {

        private final LoadBalancer loadBalancer;
        private LoadBalancer delegate;
        private SnapshotTakingLoadBalancer previous;
        private double agedMs;
        private SnapshotVariant variant;
        private LearnedState learned;
        private double atMs = Double.NEGATIVE_INFINITY;

        SnapshotTakingLoadBalancer(LoadBalancer loadBalancer) {
            this.loadBalancer = loadBalancer;
            delegate = loadBalancer;
        }

        @Override
        public void handle(double nowMs, Event event, Consumer<Action> actions) {
            if (previous != null) {
                LearnedState of = variant.distorted(previous.learned);
                Map<String, String> addresses = new HashMap<>();
                of.servers().forEach(known -> addresses.put(known.server(), "here"));
                delegate = new StateRestoringLoadBalancer(
                        loadBalancer,
                        new Snapshot("", "", "", 0, of, addresses),
                        nowMs - previous.atMs + agedMs,
                        server -> "here",
                        line -> {});
                previous = null;
            }
            delegate.handle(nowMs, event, actions);
            if (nowMs - atMs >= EXPORT_INTERVAL_MS) {
                atMs = nowMs;
                learned = loadBalancer.exportState(nowMs, 0, Integer.MAX_VALUE / 2);
            }
        }
    }

    // ---- Scripts ----

    private static ScheduledIncident entry(
            double atS, Incident what, String target, double lengthS, Double size, Double part) {
        return new ScheduledIncident(
                Duration.ofMillis((long) (1e3 * atS)),
                what,
                target,
                lengthS > 0 ? Optional.of(Duration.ofMillis((long) (1e3 * lengthS))) : Optional.empty(),
                Optional.ofNullable(size),
                Optional.ofNullable(part),
                Optional.empty());
    }

    /** Script entries by name: the state of the fleet before the restart, and a crash of every sidecar. */
    static Map<String, List<ScheduledIncident>> scripts() {
        ScheduledIncident crash = entry(CRASH_S, Incident.SIDECAR_CRASH, "sidecars", DOWNTIME_S, null, null);
        Map<String, List<ScheduledIncident>> scripts = new LinkedHashMap<>();
        scripts.put("calm", List.of(crash));
        scripts.put(
                "slow",
                List.of(
                        entry(5, Incident.SLOW, "gen-b-1", 0, 6.0, null),
                        entry(5, Incident.SLOW, "gen-a-2", 0, 6.0, null),
                        crash));
        scripts.put("errors", List.of(entry(5, Incident.FAST_ERRORS, "share:0.25", 0, null, 0.8), crash));
        scripts.put("vanished", List.of(entry(19, Incident.VANISH, "share:0.2", 25, null, null), crash));
        scripts.put(
                "turned over",
                List.of(
                        entry(5, Incident.FAST_ERRORS, "share:0.25", 0, null, 0.8),
                        crash,
                        entry(CRASH_S, Incident.DEPLOY, "all", 0.5, 0.1, 1.0)));
        scripts.put(
                "healed",
                List.of(entry(5, Incident.FAST_ERRORS, "share:0.4", CRASH_S + DOWNTIME_S - 5, null, 0.8), crash));
        scripts.put("slowed", List.of(crash, entry(CRASH_S, Incident.SLOW, "all", 0, 1.6, null)));
        return scripts;
    }

    private static Scenario scenario(Scenario base, String script, double rate) {
        Scenario there = base.with(
                new Run(Duration.ofMillis((long) (1e3 * (CRASH_S + DOWNTIME_S + MEASURED_S + 1))), 1),
                base.servers(),
                scripts().get(script));
        ClientSettings clients = there.clients();
        return new Scenario(
                there.run(),
                there.network(),
                there.servers(),
                there.classes(),
                there.tenants(),
                new ClientSettings(
                        clients.rate() * rate,
                        clients.burstEvery(),
                        clients.burstLength(),
                        clients.burstTimes(),
                        clients.keys(),
                        clients.zipf(),
                        clients.retries(),
                        clients.tryShare(),
                        clients.firstWait(),
                        clients.honour(),
                        clients.impatient(),
                        clients.marksRetry()),
                there.sidecars(),
                there.discovery(),
                there.rules(),
                there.entries(),
                there.promises(),
                there.contracts());
    }

    static RunResult result(Scenario base, String script, double rate, SnapshotVariant variant, long seed) {
        return Emulator.run(script, scenario(base, script, rate).withSeed(seed), new SnapshotRestoring(variant));
    }

    /** Share of the requested worth that was earned in the 10 s after the restart. */
    static double service(Scenario base, String script, double rate, SnapshotVariant variant, long seed) {
        RunResult result = result(base, script, rate, variant, seed);
        double asked = 0;
        double earned = 0;
        for (RunResult.Second second : result.seconds()) {
            if (second.second() >= CRASH_S + DOWNTIME_S && second.second() < CRASH_S + DOWNTIME_S + MEASURED_S) {
                asked += second.worthAsked();
                earned += second.worth();
            }
        }
        return earned / asked;
    }

    /** Mean service without a snapshot, and mean and standard error of the paired differences to it. */
    record Gain(double cold, double mean, double error) {}

    static Gain gain(
            Scenario base, String script, double rate, SnapshotVariant variant, int seeds, ExecutorService pool)
            throws Exception {
        List<Callable<double[]>> pairs = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            long number = seed;
            pairs.add(() -> new double[] {
                COLD.computeIfAbsent(
                        script + rate + "/" + number,
                        key -> service(base, script, rate, SnapshotVariant.NO_SNAPSHOT, number)),
                service(base, script, rate, variant, number)
            });
        }
        double cold = 0;
        double sum = 0;
        double squares = 0;
        for (Future<double[]> pair : pool.invokeAll(pairs)) {
            double difference = pair.get()[1] - pair.get()[0];
            cold += pair.get()[0];
            sum += difference;
            squares += difference * difference;
        }
        double mean = sum / seeds;
        return new Gain(cold / seeds, mean, Math.sqrt(Math.max(0, squares / seeds - mean * mean) / (seeds - 1)));
    }

    private static boolean isAsked(SnapshotVariant variant) {
        return List.of(System.getProperty("only", variant.name()).split(",")).contains(variant.name());
    }

    public static void main(String[] args) throws Exception {
        Scenario base = BundledScenarios.scenario(Path.of(args[0]));
        double rate = args.length > 2 ? Double.parseDouble(args[2]) : 1;
        ExecutorService pool = Executors.newFixedThreadPool(Integer.getInteger("workers", 4));
        for (String script : scripts().keySet()) {
            if (args.length > 3 && !List.of(args[3].split(",")).contains(script)) {
                continue;
            }
            for (SnapshotVariant variant : SnapshotVariant.values()) {
                if (variant != SnapshotVariant.NO_SNAPSHOT && isAsked(variant)) {
                    Gain gain = gain(base, script, rate, variant, Integer.parseInt(args[1]), pool);
                    System.out.printf(
                            "%-12s %-9s cold %.4f  gain %+.4f +- %.4f%n",
                            script, variant, gain.cold(), gain.mean(), gain.error());
                }
            }
        }
        pool.shutdown();
    }
}
