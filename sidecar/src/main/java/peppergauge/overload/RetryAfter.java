package peppergauge.overload;

import java.util.SplittableRandom;

/**
 * When a client that is turned away should come back.
 *
 * <p>At random between half of a bound and the bound, for clients that are turned away together would come back
 * together. The bound grows with the share that is turned away: clients that stay away are the only load that costs
 * nothing, so a lasting overload settles where they stay away for long enough.
 */
final class RetryAfter {

    /** Part of the longest time from which the bound starts: an overload that begins may be over by then. */
    static final double INITIAL_BOUND_SHARE = 0.05;
    /** The bound is the longest time once so much is turned away: what is denied comes back twice. */
    static final double FULL_BOUND_REJECTED_SHARE = 0.25;

    private final double maxDelayMs;
    private final SplittableRandom random;

    /** {@code longestMs}: the longest that clients follow; 0 if they may be told nothing. */
    RetryAfter(double maxDelayMs, long seed) {
        this.maxDelayMs = maxDelayMs;
        random = new SplittableRandom(seed);
    }

    /**
     * The time, ms, or 0 for no advice: it is not allowed, or none that spreads clients enough leaves them in time.
     *
     * @param turnedAway the share that is turned away, 0 to 1
     * @param leftMs how much later than now a client can still be served
     */
    double delayMs(double rejectedShare, double remainingMs) {
        double upperBoundMs =
                maxDelayMs * Math.max(INITIAL_BOUND_SHARE, Math.min(1, rejectedShare / FULL_BOUND_REJECTED_SHARE));
        double latestMs = Math.min(upperBoundMs, remainingMs);
        double earliestMs = upperBoundMs / 2;
        double delayMs = upperBoundMs <= 0 || latestMs < earliestMs
                ? 0
                : earliestMs + random.nextDouble() * (latestMs - earliestMs);
        assert delayMs >= 0 && delayMs <= maxDelayMs && delayMs <= Math.max(0, remainingMs)
                : "to come back after " + delayMs + " ms";
        return delayMs;
    }
}
