package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.LearnedState.ClassStatistics;
import peppergauge.decision.LearnedState.ClusterStatistics;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;

/** Exports the statistics that an instance has learned, without influence on later decisions. */
final class LearnedStateExporter {

    private final ServerRegistry registry;
    private final RequestClassStats[] classStats;
    private final LatencyEstimator latency;
    private final LoadEstimator load;
    private final OutlierDetection outliers;
    private final ArrivalRate arrivalRate;

    LearnedStateExporter(
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
     * Exports the statistics of all servers together and of all classes, and those of a page of servers.
     *
     * @param offset number of servers to skip
     * @param maxServers maximum number of servers in the page; those without outcomes are left out
     */
    LearnedState export(double nowMs, int offset, int maxServers) {
        List<Server> all = registry.byAffinity();
        List<ServerStatistics> servers = new ArrayList<>();
        for (Server server : all.subList(Math.min(offset, all.size()), Math.min(offset + maxServers, all.size()))) {
            if (server.failures.weight(nowMs) + server.errors.weight(nowMs) >= LearnedStateImporter.MIN_WEIGHT) {
                servers.add(serverStatistics(server, nowMs));
            }
        }
        List<ClassStatistics> classes = new ArrayList<>();
        for (RequestClassStats stats : classStats) {
            classes.add(new ClassStatistics(
                    stats.latency.peek(nowMs), stats.overallLatency.peek(nowMs), stats.latencyFactor));
        }
        return new LearnedState(all.size(), clusterStatistics(nowMs), classes, servers);
    }

    private ClusterStatistics clusterStatistics(double nowMs) {
        return new ClusterStatistics(
                latency.observedMs(nowMs),
                latency.latency.peek(nowMs),
                latency.idleLatency.peek(nowMs),
                outliers.errors.peek(nowMs),
                latency.inFlightAtSend.peek(nowMs),
                load.othersInFlight.peek(nowMs),
                latency.reportedServiceTime.peek(nowMs),
                WeightedSum.NONE,
                WeightedSum.NONE,
                latency.covariance.peek(nowMs),
                latency.variance.peek(nowMs),
                arrivalRate.arrivals.peek(nowMs),
                latency.queueingSlope(),
                latency.unloadedMs(nowMs));
    }

    private static ServerStatistics serverStatistics(Server server, double nowMs) {
        return new ServerStatistics(
                server.id,
                Math.max(0, server.startedMs),
                server.idleLatency.peek(nowMs),
                server.failures.peek(nowMs),
                server.errors.peek(nowMs),
                server.recentErrors.peek(nowMs),
                LatencyEstimator.unloadedMs(server, nowMs),
                Math.max(0, server.ejectedUntilMs - nowMs));
    }
}
