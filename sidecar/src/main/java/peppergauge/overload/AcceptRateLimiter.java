package peppergauge.overload;

/**
 * Limits the rate of accepted connections by a token bucket. The rate is halved after each interval with a
 * standing queue, else multiplied by 1.5, between {@link #MIN_RATE_PER_S} and {@link #MAX_RATE_PER_S}. Connections that
 * are not accepted wait in the kernel's queue.
 *
 * <p>Thread-safe: called by the accepting thread and the event-loop thread. Times are in ms; one that lies before the
 * latest counts as the latest.
 */
public final class AcceptRateLimiter {

    /** The longest time between two calls of {@link #acquireOrWaitMs}, so that the accepting thread sees a shutdown. */
    public static final double MAX_WAIT_MS = 100;
    /** Upper bound of the rate, in connections per second; the rate without overload. */
    static final double MAX_RATE_PER_S = 2_000;
    /** Lower bound of the rate, in connections per second. */
    static final double MIN_RATE_PER_S = 20;
    /** The capacity of the bucket, in seconds at the current rate. */
    static final double BURST_S = 0.1;

    private static final double MAX_REFILL_MS = 1_000;
    private static final double DECREASE_FACTOR = 0.5;
    private static final double INCREASE_FACTOR = 1.5;

    private double ratePerS = MAX_RATE_PER_S;
    private double tokens = MAX_RATE_PER_S * BURST_S;
    private double refilledMs = Double.NEGATIVE_INFINITY;

    /** Adjusts the rate after an interval. */
    synchronized void onInterval(boolean isQueueStanding) {
        ratePerS = Math.max(
                MIN_RATE_PER_S,
                Math.min(MAX_RATE_PER_S, ratePerS * (isQueueStanding ? DECREASE_FACTOR : INCREASE_FACTOR)));
        tokens = Math.min(tokens, ratePerS * BURST_S);
        assert isConsistent() : this;
    }

    /** Whether rate and tokens are within their bounds. */
    private boolean isConsistent() {
        return ratePerS >= MIN_RATE_PER_S && ratePerS <= MAX_RATE_PER_S && tokens >= 0 && tokens <= ratePerS * BURST_S;
    }

    @Override
    public synchronized String toString() {
        return "accepts " + ratePerS + " connections per second, tokens: " + tokens;
    }

    /**
     * Acquires a token for accepting one connection.
     *
     * @return 0 if a token was acquired, else the delay until the next call, in ms, at most {@link #MAX_WAIT_MS}
     */
    public synchronized double acquireOrWaitMs(double nowMs) {
        if (nowMs > refilledMs) {
            double refillMs = Math.min(nowMs - refilledMs, MAX_REFILL_MS);
            tokens = Math.min(ratePerS * BURST_S, tokens + refillMs * ratePerS / 1_000);
            refilledMs = nowMs;
        }
        assert isConsistent() : this;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return Math.min(MAX_WAIT_MS, (1 - tokens) * 1_000 / ratePerS);
    }

    /** The current rate, connections per second. */
    synchronized double ratePerS() {
        return ratePerS;
    }
}
