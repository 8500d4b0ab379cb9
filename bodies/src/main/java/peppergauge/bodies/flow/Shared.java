package peppergauge.bodies.flow;

import peppergauge.bodies.limits.Pace;
import peppergauge.bodies.limits.Windows;
import peppergauge.session.Clock;
import peppergauge.session.Scheduler;

/**
 * What all flows share.
 *
 * @param leastPerS bytes a second that a side must move in its turn
 * @param paceMs over how much of its turn, ms
 * @param ends told of ends that operators should know of
 */
public record Shared(Clock clock, Scheduler scheduler, Windows windows, double leastPerS, double paceMs,
        Ends ends) {

    /** Told how flows end, for operators. */
    public interface Ends {

        /** One is over. */
        void ended();

        /** A side was too slow: {@code what} names it. */
        void slow(String what);
    }

    Pace pace() {
        return new Pace(leastPerS, paceMs);
    }
}
