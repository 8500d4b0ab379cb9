package peppergauge.overload;

/**
 * Estimates the minimum time that a request needs: the minimum latency of the last one to two windows. Requests with
 * less remaining time are rejected. Older latencies expire, since none is recorded while all requests are rejected. One
 * thread only.
 */
final class MinServiceTime {

    /** Lower bound, and the estimate while no latency is known. */
    static final double MIN_ESTIMATE_MS = 3;
    /** Upper bound: while all servers are slow, the next response may be the first fast one. */
    static final double MAX_ESTIMATE_MS = 100;
    /** The length of a window. */
    static final double WINDOW_MS = 5_000;

    private double currentMinMs = Double.POSITIVE_INFINITY;
    private double previousMinMs = Double.POSITIVE_INFINITY;
    private double windowStartMs = Double.NEGATIVE_INFINITY;

    /** Records the latency of a successful attempt. */
    void record(double nowMs, double latencyMs) {
        rotateWindow(nowMs);
        currentMinMs = Math.min(currentMinMs, latencyMs);
    }

    /** The estimate, {@link #MIN_ESTIMATE_MS} to {@link #MAX_ESTIMATE_MS}. */
    double estimateMs(double nowMs) {
        rotateWindow(nowMs);
        double minMs = Math.min(currentMinMs, previousMinMs);
        assert minMs >= 0 : "negative minimum service time: " + minMs + " ms";
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
