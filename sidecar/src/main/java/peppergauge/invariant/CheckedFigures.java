package peppergauge.invariant;

import java.util.stream.Stream;
import peppergauge.decision.Learned;
import peppergauge.decision.Learned.Figure;

/** Whether what was learned can be gone by: one figure that is no number spoils all that it is added to, for good. */
final class CheckedFigures {

    private CheckedFigures() {}

    static boolean sound(Learned learned) {
        return (learned.fleet() == null || sound(learned.fleet()))
                && learned.classes().stream()
                        .allMatch(kind -> sound(kind.latency(), kind.overall()) && finite(kind.factor()))
                && learned.known().stream()
                        .allMatch(known -> sound(known.latency(), known.outcomes(), known.errors(), known.lately())
                                && known.unloadedMs() >= 0
                                && finite(known.restMs()));
    }

    private static boolean sound(Learned.Fleet fleet) {
        return sound(
                        fleet.latency(),
                        fleet.unit(),
                        fleet.errors(),
                        fleet.flights(),
                        fleet.crowd(),
                        fleet.served(),
                        fleet.use(),
                        fleet.rate(),
                        fleet.variance(),
                        fleet.arrivals())
                && Double.isFinite(fleet.covariance().sum())
                && fleet.crowding() >= 0
                && fleet.crowding() <= 1
                && fleet.unloadedMs() >= 0
                && finite(fleet.seenMs());
    }

    private static boolean sound(Figure... figures) {
        return Stream.of(figures).allMatch(figure -> finite(figure.sum()) && finite(figure.weight()));
    }

    private static boolean finite(double figure) {
        return figure >= 0 && figure < Double.POSITIVE_INFINITY;
    }
}
