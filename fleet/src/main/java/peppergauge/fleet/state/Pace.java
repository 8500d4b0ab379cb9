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
        long interval = Math.round(Math.min(mostMs, Math.max(leastMs, daemons * 1_000 / perSecond)));
        assert interval >= leastMs
                        && interval <= mostMs
                        && (interval == mostMs || daemons * 1_000.0 <= (interval + 0.5) * perSecond)
                : daemons + " daemons every " + interval + " ms";
        return interval;
    }
}
