package peppergauge.overload;

/**
 * The least time that a session still needs: the shortest service of the last seconds.
 *
 * <p>A session with less time left is late whatever is done for it. The shortest, not a mean: who is called late
 * gets nothing, so it must be certain. Kept for two periods and then forgotten: if all were called late no service
 * would end and nothing would ever be learnt again. One thread only.
 */
final class LeastService {

    /** Time left that holds no service even where none is known, ms: reading, deciding and writing take as much. */
    static final double FLOOR_MS = 3;
    /** Most that is believed, ms: while all servers are slow, the next session may be the first that is not. */
    static final double BOUND_MS = 100;
    /** A service is remembered for one to two of these, ms. */
    static final double KEPT_MS = 5_000;

    private double least = Double.POSITIVE_INFINITY;
    private double leastBefore = Double.POSITIVE_INFINITY;
    private double sinceMs = Double.NEGATIVE_INFINITY;

    /** A service ended well after {@code tookMs}. */
    void ended(double nowMs, double tookMs) {
        turn(nowMs);
        least = Math.min(least, tookMs);
    }

    /** The time, ms, that a session needs at the least; from {@link #FLOOR_MS} to {@link #BOUND_MS}. */
    double ms(double nowMs) {
        turn(nowMs);
        double known = Math.min(least, leastBefore);
        assert known >= 0 : "a service that took " + known + " ms";
        return known == Double.POSITIVE_INFINITY ? FLOOR_MS : Math.max(FLOOR_MS, Math.min(BOUND_MS, known));
    }

    private void turn(double nowMs) {
        if (nowMs - sinceMs >= KEPT_MS) {
            leastBefore = nowMs - sinceMs >= 2 * KEPT_MS ? Double.POSITIVE_INFINITY : least;
            least = Double.POSITIVE_INFINITY;
            sinceMs = nowMs;
        }
    }
}
