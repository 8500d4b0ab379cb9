package peppergauge.overload;

import java.util.SplittableRandom;

/**
 * Chooses the delay after which a rejected client should retry: at random between half of a bound and the bound, so
 * that clients that are rejected at the same time do not retry at the same time. The bound grows with the share that is
 * rejected. One thread only.
 */
final class RetryAfter {

    /** The bound at the start of an overload, as a share of the maximum. */
    static final double INITIAL_BOUND_SHARE = 0.05;
    /** The share of rejected requests at which the bound is the maximum. */
    static final double FULL_BOUND_REJECTED_SHARE = 0.25;

    private final double maxDelayMs;
    private final SplittableRandom random;

    /** @param maxDelayMs the longest delay; 0 if no advice may be given */
    RetryAfter(double maxDelayMs, long seed) {
        this.maxDelayMs = maxDelayMs;
        random = new SplittableRandom(seed);
    }

    /**
     * The delay in ms; 0 for no advice, if none may be given or the client has less than half of the bound left.
     *
     * @param rejectedShare the share of requests that is rejected, 0 to 1
     * @param remainingMs the longest delay after which the client can still be served
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
                : "Retry-After delay out of range: " + delayMs + " ms";
        return delayMs;
    }
}
