package peppergauge.overload;

/**
 * The least time that a session still needs: the shortest service of the last seconds.
 *
 * <p>A session with less time left is late whatever is done for it. The shortest, not a mean: who is called late
 * gets nothing, so it must be certain. Kept for two periods and then forgotten: if all were called late no service
 * would end and nothing would ever be learnt again. One thread only.
 */
final class MinServiceTime {

    /** Time left that holds no service even where none is known, ms: reading, deciding and writing take as much. */
    static final double MIN_ESTIMATE_MS = 3;
    /** Most that is believed, ms: while all servers are slow, the next session may be the first that is not. */
    static final double MAX_ESTIMATE_MS = 100;
    /** A service is remembered for one to two of these, ms. */
    static final double WINDOW_MS = 5_000;

    private double currentMinMs = Double.POSITIVE_INFINITY;
    private double previousMinMs = Double.POSITIVE_INFINITY;
    private double windowStartMs = Double.NEGATIVE_INFINITY;

    /** A service ended well after {@code tookMs}. */
    void record(double nowMs, double latencyMs) {
        rotateWindow(nowMs);
        currentMinMs = Math.min(currentMinMs, latencyMs);
    }

    /** The time, ms, that a session needs at the least; from {@link #FLOOR_MS} to {@link #BOUND_MS}. */
    double estimateMs(double nowMs) {
        rotateWindow(nowMs);
        double minMs = Math.min(currentMinMs, previousMinMs);
        assert minMs >= 0 : "a service that took " + minMs + " ms";
        return minMs == Double.POSITIVE_INFINITY
                ? MIN_ESTIMATE_MS
                : Math.max(MIN_ESTIMATE_MS, Math.min(MAX_ESTIMATE_MS, minMs));
    }

    private void rotateWindow(double nowMs) {
        if (nowMs - windowStartMs >= WINDOW_MS) {
            previousMinMs = nowMs - windowStartMs >= 2 * WINDOW_MS ? Double.POSITIVE_INFINITY : currentMinMs;
            currentMinMs = Double.POSITIVE_INFINITY;
            windowStartMs = nowMs;
        }
    }
}
