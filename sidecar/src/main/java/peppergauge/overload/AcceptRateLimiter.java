package peppergauge.overload;

/**
 * The pace of accepting connections: a token bucket whose rate halves for each interval in which a queue stands and
 * grows by half again after.
 *
 * <p>A connection costs more than a request on one that is open, and the kernel's queue keeps those that wait at no
 * cost. The rate never falls under a trickle, so that who is stopped here is not stopped for good, and a wait is
 * never longer than {@link #MOST_WAIT_MS}: the accepting thread must see the end.
 *
 * <p>Called from the accepting thread and the owner's; the only class here that is safe for that. Times are ms; one
 * that lies before the last one counts as the last one, for two threads may bring theirs in another order.
 */
public final class AcceptRateLimiter {

    /** Longest wait, ms. */
    public static final double MAX_WAIT_MS = 100;
    /** Connections a second when nothing is amiss: more than usual clients open. */
    static final double MAX_RATE_PER_S = 2_000;
    /** Connections a second at the least: one each 50 ms. */
    static final double MIN_RATE_PER_S = 20;
    /** What may come at once, as a time at the present rate, s. */
    static final double BURST_S = 0.1;

    private static final double DECREASE_FACTOR = 0.5;
    private static final double INCREASE_FACTOR = 1.5;

    private double ratePerS = MAX_RATE_PER_S;
    private double tokens = MAX_RATE_PER_S * BURST_S;
    private double refilledMs = Double.NEGATIVE_INFINITY;

    /** An interval has passed, with a queue that stands at its end or not. */
    synchronized void onInterval(boolean isQueueStanding) {
        ratePerS = Math.max(
                MIN_RATE_PER_S,
                Math.min(MAX_RATE_PER_S, ratePerS * (isQueueStanding ? DECREASE_FACTOR : INCREASE_FACTOR)));
        tokens = Math.min(tokens, ratePerS * BURST_S);
        assert isConsistent() : this;
    }

    /** Accepting never stops for good, and no burst is longer than its time at the present rate. */
    private boolean isConsistent() {
        return ratePerS >= MIN_RATE_PER_S && ratePerS <= MAX_RATE_PER_S && tokens >= 0 && tokens <= ratePerS * BURST_S;
    }

    @Override
    public synchronized String toString() {
        return "accepts " + ratePerS + " a second, " + tokens + " at once";
    }

    /**
     * Asks for leave to accept one connection.
     *
     * @return 0 if it may be accepted now, which counts as done; else how long to wait, ms, before this is asked again,
     *     over 0 and up to {@link #MOST_WAIT_MS}
     */
    public synchronized double acquireOrWaitMs(double nowMs) {
        if (nowMs > refilledMs) {
            tokens = Math.min(ratePerS * BURST_S, tokens + Math.min(nowMs - refilledMs, 1_000) * ratePerS / 1_000);
            refilledMs = nowMs;
        }
        assert isConsistent() : this;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return Math.min(MAX_WAIT_MS, (1 - tokens) * 1_000 / ratePerS);
    }

    /** Connections a second at present. */
    synchronized double ratePerS() {
        return ratePerS;
    }
}
