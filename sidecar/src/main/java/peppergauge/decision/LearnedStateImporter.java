package peppergauge.decision;

import peppergauge.decision.LearnedState.ClassStatistics;
import peppergauge.decision.LearnedState.ClusterStatistics;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;

/**
 * Restores what another instance had learned.
 *
 * <p>Figures age as they would have in that instance, and count half for what may have changed unseen. Of one server so
 * little is restored that it is drawn less, but not excluded. Everything that sets concurrency limits (unloaded
 * latencies, queueing slope, service times, rate of responses) is left to be learned anew.
 */
final class LearnedStateImporter {

    /** Weight under which a figure counts as none, in samples. */
    static final double MIN_WEIGHT = 1e-3;

    /** What is left of a weight besides its ageing. */
    private static final double TRUST = 0.5;

    /** Most weight of a server's outcomes: with all of them failures it still isn't taken for failing. */
    private static final double MAX_OUTCOMES = 0.25;

    /** Most weight of a server's recent errors. */
    private static final double MAX_RECENT_ERRORS = 0.125;

    /** Most weight of a server's latency. */
    private static final double MAX_LATENCIES = 0.5;

    /** Most weight of the fleet's figures. */
    private static final double MAX_RESPONSES = 2;

    /** Least time over which a rate of arrivals is computed, ms. */
    private static final double MIN_RATE_MS = 1_000;

    private final ServerRegistry registry;
    private final RequestClassStats[] classStats;
    private final LatencyEstimator latency;
    private final LoadEstimator load;
    private final OutlierDetection outliers;
    private final ArrivalRate arrivalRate;

    LearnedStateImporter(
            ServerRegistry registry,
            RequestClassStats[] classStats,
            LatencyEstimator latency,
            LoadEstimator load,
            OutlierDetection outliers,
            ArrivalRate arrivalRate) {
        this.registry = registry;
        this.classStats = classStats;
        this.latency = latency;
        this.load = load;
        this.outliers = outliers;
        this.arrivalRate = arrivalRate;
    }

    /**
     * Restores a state where nothing was learned yet.
     *
     * @param ageMs how long ago it was exported, ms; nothing is restored if it is negative, not a number or too great
     */
    void restore(double nowMs, LearnedState learned, double ageMs) {
        if (!(ageMs >= 0 && ageMs < LearnedState.MAX_AGE_MS)) {
            return;
        }
        if (learned.cluster() != null && latency.idleLatency.lastWeight() == 0) {
            restoreCluster(nowMs, learned.cluster(), ageMs);
            int classes = Math.min(classStats.length, learned.classes().size());
            for (int i = 0; i < classes; i++) {
                restoreClass(nowMs, classStats[i], learned.classes().get(i), ageMs);
            }
        }
        for (ServerStatistics statistics : learned.servers()) {
            Server server = registry.get(statistics.server());
            if (server != null && isUnknown(server) && Math.max(0, server.startedMs) == statistics.startedMs()) {
                restoreServer(nowMs, server, statistics, ageMs);
            }
        }
    }

    private static boolean isUnknown(Server server) {
        return server.failures.lastWeight() + server.errors.lastWeight() + server.idleLatency.lastWeight() == 0;
    }

    private void restoreCluster(double nowMs, ClusterStatistics cluster, double ageMs) {
        restore(nowMs, latency.idleLatency, cluster.idleLatency(), ageMs, MAX_RESPONSES);
        restore(nowMs, outliers.errors, cluster.errors(), ageMs, MAX_RESPONSES);
        restore(nowMs, latency.inFlightAtSend, cluster.inFlight(), ageMs, MAX_RESPONSES);
        restore(nowMs, load.othersInFlight, cluster.othersInFlight(), ageMs, MAX_RESPONSES);
        // The weight is scaled so that it gives the same rate over the least time.
        double halfLifeMs = arrivalRate.arrivals.halfLifeMs;
        restoreShare(
                nowMs,
                arrivalRate.arrivals,
                cluster.arrivals(),
                TRUST
                        * DecayingAverage.remainingShare(ageMs, halfLifeMs)
                        * (1 - DecayingAverage.remainingShare(MIN_RATE_MS, halfLifeMs))
                        / (1
                                - DecayingAverage.remainingShare(
                                        Math.max(MIN_RATE_MS, cluster.observedMs()), halfLifeMs)));
    }

    private static void restoreClass(double nowMs, RequestClassStats stats, ClassStatistics statistics, double ageMs) {
        restore(nowMs, stats.latency, statistics.latency(), ageMs, MAX_RESPONSES);
        restore(nowMs, stats.overallLatency, statistics.overall(), ageMs, MAX_RESPONSES);
        stats.latencyFactor =
                1 + (statistics.factor() - 1) * TRUST * DecayingAverage.remainingShare(ageMs, stats.latency.halfLifeMs);
    }

    private void restoreServer(double nowMs, Server server, ServerStatistics statistics, double ageMs) {
        double outcomes = statistics.failures().weight() + statistics.errors().weight();
        double share = outcomes > 0 ? MAX_OUTCOMES / outcomes : 0;
        restore(
                nowMs,
                server.failures,
                statistics.failures(),
                ageMs,
                share * statistics.failures().weight());
        restore(
                nowMs,
                server.errors,
                statistics.errors(),
                ageMs,
                share * statistics.errors().weight());
        restore(nowMs, server.recentErrors, statistics.recentErrors(), ageMs, MAX_RECENT_ERRORS);
        restore(nowMs, server.idleLatency, statistics.latency(), ageMs, MAX_LATENCIES);
        double longestMs = latency.idleLatency.lastWeight() > 0 ? latency.idleLatency.mean(nowMs) : 0;
        double leftMs = Math.max(0, statistics.ejectionLeftMs() - ageMs);
        server.ejectedUntilMs = nowMs + Math.min(leftMs, longestMs);
    }

    private static void restore(
            double nowMs, DecayingAverage target, WeightedSum figure, double ageMs, double maxWeight) {
        double aged = TRUST * DecayingAverage.remainingShare(ageMs, target.halfLifeMs);
        double share = figure.weight() > 0 ? Math.min(aged, maxWeight / figure.weight()) : 0;
        restoreShare(nowMs, target, figure, share);
    }

    private static void restoreShare(double nowMs, DecayingAverage target, WeightedSum figure, double share) {
        boolean isKept = figure.weight() * share >= MIN_WEIGHT;
        target.restore(nowMs, isKept ? figure.sum() * share : 0, isKept ? figure.weight() * share : 0);
    }
}
