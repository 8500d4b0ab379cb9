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
    static final double LEAST = 0.05;
    /** The bound is the longest time once so much is turned away: what is denied comes back twice. */
    static final double ALL_OF_IT = 0.25;

    private final double longestMs;
    private final SplittableRandom random;

    /** {@code longestMs}: the longest that clients follow; 0 if they may be told nothing. */
    RetryAfter(double longestMs, long seed) {
        this.longestMs = longestMs;
        random = new SplittableRandom(seed);
    }

    /**
     * The time, ms, or 0 for no advice: it is not allowed, or none that spreads clients enough leaves them in time.
     *
     * @param turnedAway the share that is turned away, 0 to 1
     * @param leftMs how much later than now a client can still be served
     */
    double ms(double turnedAway, double leftMs) {
        double boundMs = longestMs * Math.max(LEAST, Math.min(1, turnedAway / ALL_OF_IT));
        double latestMs = Math.min(boundMs, leftMs);
        double earliestMs = boundMs / 2;
        double ms =
                boundMs <= 0 || latestMs < earliestMs ? 0 : earliestMs + random.nextDouble() * (latestMs - earliestMs);
        assert ms >= 0 && ms <= longestMs && ms <= Math.max(0, leftMs) : "to come back after " + ms + " ms";
        return ms;
    }
}
