package peppergauge.fleet.state;

/**
 * How often daemons are to speak, so that all together cost the same however many there are.
 *
 * @param perSecond calls of all daemons together
 * @param leastMs also where they are few
 * @param mostMs also where they are many: beyond that the cost grows
 */
public record Pace(double perSecond, long leastMs, long mostMs) {

    public long intervalMs(int daemons) {
        return Math.round(Math.min(mostMs, Math.max(leastMs, daemons * 1_000 / perSecond)));
    }
}
