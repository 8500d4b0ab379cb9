package peppergauge.invariant;

import java.util.stream.Stream;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.WeightedSum;

/** Checks that all values of a learned state are within their bounds. A decaying sum never recovers from NaN. */
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

    private static boolean isValid(WeightedSum... sums) {
        return Stream.of(sums).allMatch(sum -> isFinite(sum.sum()) && isFinite(sum.weight()));
    }

    /** Whether a value is finite and 0 or more. */
    private static boolean isFinite(double value) {
        return value >= 0 && value < Double.POSITIVE_INFINITY;
    }
}
