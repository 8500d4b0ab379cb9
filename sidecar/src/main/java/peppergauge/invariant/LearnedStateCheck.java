package peppergauge.invariant;

import java.util.stream.Stream;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.WeightedSum;

/** Checks that all figures of a learned state are numbers within their bounds: sums never recover from NaN. */
final class LearnedStateCheck {

    private LearnedStateCheck() {}

    static boolean isValid(LearnedState learned) {
        return (learned.cluster() == null || isValid(learned.cluster()))
                && learned.classes().stream()
                        .allMatch(requestClass -> isValid(requestClass.latency(), requestClass.overall())
                                && isFinite(requestClass.factor()))
                && learned.servers().stream()
                        .allMatch(server ->
                                isValid(server.latency(), server.failures(), server.errors(), server.recentErrors())
                                        && server.unloadedMs() >= 0
                                        && isFinite(server.ejectionLeftMs()));
    }

    private static boolean isValid(LearnedState.ClusterStatistics cluster) {
        return isValid(
                        cluster.latency(),
                        cluster.idleLatency(),
                        cluster.errors(),
                        cluster.inFlight(),
                        cluster.othersInFlight(),
                        cluster.reportedServiceTime(),
                        cluster.reportedUtilization(),
                        cluster.reportedRate(),
                        cluster.variance(),
                        cluster.arrivals())
                && Double.isFinite(cluster.covariance().sum())
                && cluster.queueingSlope() >= 0
                && cluster.queueingSlope() <= 1
                && cluster.unloadedMs() >= 0
                && isFinite(cluster.observedMs());
    }

    private static boolean isValid(WeightedSum... figures) {
        return Stream.of(figures).allMatch(figure -> isFinite(figure.sum()) && isFinite(figure.weight()));
    }

    private static boolean isFinite(double figure) {
        return figure >= 0 && figure < Double.POSITIVE_INFINITY;
    }
}
