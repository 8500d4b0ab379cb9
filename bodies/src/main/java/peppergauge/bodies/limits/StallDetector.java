package peppergauge.bodies.limits;

/**
 * Detects whether one side of a flow has stalled. Only the time during which the flow waits for that side is counted:
 * a sender is not slow because its reader is, nor a reader because there is nothing to read. Within a sliding window of
 * such time, which advances in eighths, the side must move a minimum of bytes: a slow side is accepted, a stalled one
 * is not.
 *
 * <p>Not thread-safe. Times are in ms from any origin.
 */
public final class StallDetector {

    private static final int SLOTS = 8;

    private final double minBytesPerWindow;
    private final double slotMs;
    private final long[] bytesBySlot = new long[SLOTS];
    /** The time counted so far, ms. */
    private double awaitedMs;
    /** The time up to which it was counted; NaN while the flow does not wait for this side. */
    private double countedToMs = Double.NaN;

    private long slot;

    /**
     * @param minBytesPerS bytes per second that the side must move while the flow waits for it, over 0
     * @param windowMs the time over which that rate is measured, over 0
     */
    public StallDetector(double minBytesPerS, double windowMs) {
        if (!(minBytesPerS > 0) || !(windowMs > 0)) {
            throw new IllegalArgumentException(
                    "stall detector needs a rate and a window over 0: " + minBytesPerS + " B/s, " + windowMs + " ms");
        }
        minBytesPerWindow = minBytesPerS * windowMs / 1_000;
        slotMs = windowMs / SLOTS;
    }

    /** Sets whether the flow waits for this side from now on. */
    public void setAwaited(double nowMs, boolean awaited) {
        advance(nowMs);
        countedToMs = awaited ? nowMs : Double.NaN;
    }

    /** The side has moved bytes, whether the flow waits for it or not. */
    public void onBytesMoved(double nowMs, long bytes) {
        advance(nowMs);
        bytesBySlot[(int) (slot % SLOTS)] += bytes;
    }

    /** Whether it moved too few bytes in the last window; false until a first window is complete. */
    public boolean isStalled(double nowMs) {
        advance(nowMs);
        long sum = 0;
        for (long bytes : bytesBySlot) {
            sum += bytes;
        }
        assert sum >= 0 : "negative number of bytes moved: " + sum;
        return awaitedMs >= SLOTS * slotMs && sum < minBytesPerWindow;
    }

    private void advance(double nowMs) {
        if (!Double.isNaN(countedToMs)) {
            awaitedMs += Math.max(0, nowMs - countedToMs);
            countedToMs = Math.max(countedToMs, nowMs);
            long newSlot = (long) (awaitedMs / slotMs);
            for (int i = 0; i < SLOTS && slot + i < newSlot; i++) {
                bytesBySlot[(int) ((newSlot - i) % SLOTS)] = 0;
            }
            assert newSlot >= slot : "counted time went backwards";
            slot = newSlot;
        }
    }
}
