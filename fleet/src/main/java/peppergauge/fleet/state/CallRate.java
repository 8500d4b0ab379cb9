package peppergauge.fleet.state;

/**
 * Target rate of the calls of all daemons, which determines the interval of each daemon.
 *
 * @param callsPerSecond calls of all daemons per second
 * @param minIntervalMs shortest interval, ms
 * @param maxIntervalMs longest interval, ms; with more daemons than it allows for, the rate exceeds the target
 */
public record CallRate(double callsPerSecond, long minIntervalMs, long maxIntervalMs) {

    /** Returns the interval between two calls of one daemon, ms. */
    public long intervalMs(int daemons) {
        long interval = Math.round(Math.min(maxIntervalMs, Math.max(minIntervalMs, daemons * 1_000 / callsPerSecond)));
        assert interval >= minIntervalMs
                        && interval <= maxIntervalMs
                        && (interval == maxIntervalMs || daemons * 1_000.0 <= (interval + 0.5) * callsPerSecond)
                : "interval of " + interval + " ms out of range for " + daemons + " daemons";
        return interval;
    }
}
