package peppergauge.decision;

import peppergauge.decision.LearnedState.ClassStatistics;
import peppergauge.decision.LearnedState.ClusterStatistics;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;

/**
 * Imports statistics that another instance has learned.
 *
 * <p>Their weights decay by the age of the export and are then halved, since the servers may have changed since. The
 * weights of a server's statistics are limited, so that the server may be selected less often but is not excluded.
 * Everything that determines concurrency limits (unloaded latencies, queueing slope, service times, rate of responses)
 * is not imported.
 */
final class LearnedStateImporter {

    /** Weight below which statistics count as having no samples, in samples. */
    static final double MIN_WEIGHT = 1e-3;

    /** Factor of all imported weights, in addition to their decay. */
    private static final double IMPORT_WEIGHT_FACTOR = 0.5;

    /** Upper bound of the weight of a server's outcomes: a server with failures only does not count as failing yet. */
    private static final double MAX_OUTCOME_WEIGHT = 0.25;

    /** Upper bound of the weight of a server's recent errors, in outcomes. */
    private static final double MAX_RECENT_ERROR_WEIGHT = 0.125;

    /** Upper bound of the weight of a server's latency, in responses. */
    private static final double MAX_LATENCY_WEIGHT = 0.5;

    /** Upper bound of the weight of the statistics of all servers together, in samples. */
    private static final double MAX_CLUSTER_WEIGHT = 2;

    /** Shortest observation time that an arrival rate is computed over, ms. */
    private static final double MIN_OBSERVED_MS = 1_000;

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
     * Imports the statistics of which this instance has no samples of its own.
     *
     * @param ageMs time since the export, ms; nothing is imported if it is negative, not a number or too great
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
        restore(nowMs, latency.idleLatency, cluster.idleLatency(), ageMs, MAX_CLUSTER_WEIGHT);
        restore(nowMs, outliers.errors, cluster.errors(), ageMs, MAX_CLUSTER_WEIGHT);
        restore(nowMs, latency.inFlightAtSend, cluster.inFlight(), ageMs, MAX_CLUSTER_WEIGHT);
        restore(nowMs, load.othersInFlight, cluster.othersInFlight(), ageMs, MAX_CLUSTER_WEIGHT);
        // The weight is scaled so that it gives the same rate over the shortest observation time.
        double halfLifeMs = arrivalRate.arrivals.halfLifeMs;
        restoreShare(
                nowMs,
                arrivalRate.arrivals,
                cluster.arrivals(),
                agedShare(ageMs, halfLifeMs)
                        * (1 - DecayingAverage.remainingShare(MIN_OBSERVED_MS, halfLifeMs))
                        / (1
                                - DecayingAverage.remainingShare(
                                        Math.max(MIN_OBSERVED_MS, cluster.observedMs()), halfLifeMs)));
    }

    private static void restoreClass(double nowMs, RequestClassStats stats, ClassStatistics statistics, double ageMs) {
        restore(nowMs, stats.latency, statistics.latency(), ageMs, MAX_CLUSTER_WEIGHT);
        restore(nowMs, stats.overallLatency, statistics.overall(), ageMs, MAX_CLUSTER_WEIGHT);
        stats.latencyFactor = 1 + (statistics.factor() - 1) * agedShare(ageMs, stats.latency.halfLifeMs);
    }

    private void restoreServer(double nowMs, Server server, ServerStatistics statistics, double ageMs) {
        double outcomes = statistics.failures().weight() + statistics.errors().weight();
        double share = outcomes > 0 ? MAX_OUTCOME_WEIGHT / outcomes : 0;
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
        restore(nowMs, server.recentErrors, statistics.recentErrors(), ageMs, MAX_RECENT_ERROR_WEIGHT);
        restore(nowMs, server.idleLatency, statistics.latency(), ageMs, MAX_LATENCY_WEIGHT);
        double maxEjectionMs = latency.idleLatency.lastWeight() > 0 ? latency.idleLatency.mean(nowMs) : 0;
        double remainingMs = Math.max(0, statistics.ejectionLeftMs() - ageMs);
        server.ejectedUntilMs = nowMs + Math.min(remainingMs, maxEjectionMs);
    }

    private static void restore(
            double nowMs, DecayingAverage target, WeightedSum statistic, double ageMs, double maxWeight) {
        double agedShare = agedShare(ageMs, target.halfLifeMs);
        double share = statistic.weight() > 0 ? Math.min(agedShare, maxWeight / statistic.weight()) : 0;
        restoreShare(nowMs, target, statistic, share);
    }

    /** The share of a weight that is imported at the given age of the export. */
    private static double agedShare(double ageMs, double halfLifeMs) {
        return IMPORT_WEIGHT_FACTOR * DecayingAverage.remainingShare(ageMs, halfLifeMs);
    }

    private static void restoreShare(double nowMs, DecayingAverage target, WeightedSum statistic, double share) {
        boolean isKept = statistic.weight() * share >= MIN_WEIGHT;
        target.restore(nowMs, isKept ? statistic.sum() * share : 0, isKept ? statistic.weight() * share : 0);
    }
}
