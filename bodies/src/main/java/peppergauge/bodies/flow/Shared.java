package peppergauge.bodies.flow;

import peppergauge.bodies.limits.Pace;
import peppergauge.bodies.limits.Windows;
import peppergauge.request.Clock;
import peppergauge.request.Scheduler;

/**
 * What all flows share.
 *
 * @param spares pieces of memory that are not in use
 * @param leastPerS bytes a second that a side must move in its turn
 * @param paceMs over how much of its turn, ms
 * @param ends told of ends that operators should know of
 */
public record Shared(
        Clock clock, Scheduler scheduler, Windows windows, Spares spares, double leastPerS, double paceMs, Ends ends) {

    /** {@code idle}: bytes of memory that may lie idle between two uses. */
    public Shared(
            Clock clock, Scheduler scheduler, Windows windows, long idle, double leastPerS, double paceMs, Ends ends) {
        this(clock, scheduler, windows, new Spares(idle), leastPerS, paceMs, ends);
    }

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
