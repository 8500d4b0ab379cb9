package peppergauge.fleet.state;

/**
 * Rate of calls of all daemons together, from which the interval of each follows.
 *
 * @param callsPerSecond of all daemons together
 * @param minIntervalMs shortest interval, ms
 * @param maxIntervalMs longest interval, ms; with more daemons the rate grows
 */
public record CallRate(double callsPerSecond, long minIntervalMs, long maxIntervalMs) {

    /** Returns the interval between two calls of one daemon, ms. */
    public long intervalMs(int daemons) {
        long interval = Math.round(Math.min(maxIntervalMs, Math.max(minIntervalMs, daemons * 1_000 / callsPerSecond)));
        assert interval >= minIntervalMs
                        && interval <= maxIntervalMs
                        && (interval == maxIntervalMs || daemons * 1_000.0 <= (interval + 0.5) * callsPerSecond)
                : daemons + " daemons every " + interval + " ms";
        return interval;
    }
}
