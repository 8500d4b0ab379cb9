package peppergauge.invariant;

import java.util.stream.Stream;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.WeightedSum;

/** Whether what was learned can be gone by: one figure that is no number spoils all that it is added to, for good. */
final class CheckedFigures {

    private CheckedFigures() {}

    static boolean sound(LearnedState learned) {
        return (learned.cluster() == null || sound(learned.cluster()))
                && learned.classes().stream()
                        .allMatch(kind -> sound(kind.latency(), kind.overall()) && finite(kind.factor()))
                && learned.servers().stream()
                        .allMatch(
                                known -> sound(known.latency(), known.failures(), known.errors(), known.recentErrors())
                                        && known.unloadedMs() >= 0
                                        && finite(known.ejectionLeftMs()));
    }

    private static boolean sound(LearnedState.ClusterStatistics fleet) {
        return sound(
                        fleet.latency(),
                        fleet.idleLatency(),
                        fleet.errors(),
                        fleet.inFlight(),
                        fleet.othersInFlight(),
                        fleet.reportedServiceTime(),
                        fleet.reportedUtilization(),
                        fleet.reportedRate(),
                        fleet.variance(),
                        fleet.arrivals())
                && Double.isFinite(fleet.covariance().sum())
                && fleet.queueingSlope() >= 0
                && fleet.queueingSlope() <= 1
                && fleet.unloadedMs() >= 0
                && finite(fleet.observedMs());
    }

    private static boolean sound(WeightedSum... figures) {
        return Stream.of(figures).allMatch(figure -> finite(figure.sum()) && finite(figure.weight()));
    }

    private static boolean finite(double figure) {
        return figure >= 0 && figure < Double.POSITIVE_INFINITY;
    }
}
