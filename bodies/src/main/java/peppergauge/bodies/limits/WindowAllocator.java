package peppergauge.bodies.limits;

/**
 * Divides a total number of bytes into receive windows for the open flows: the more flows there are, the smaller is
 * each window, down to a minimum without which a flow could not proceed. With so many flows that all have the minimum,
 * the total is exceeded; it is then bounded by the number of connections. Not thread-safe.
 */
public final class WindowAllocator {

    public static final int MIN_WINDOW_BYTES = 16 * 1024;

    private final long maxWindowBytes;
    private final long totalBytes;
    private int openFlows;

    /**
     * @param maxWindowBytes the largest window of one flow, at least {@link #MIN_WINDOW_BYTES}
     * @param totalBytes of all flows, at least {@code maxWindowBytes}
     */
    public WindowAllocator(long maxWindowBytes, long totalBytes) {
        if (maxWindowBytes < MIN_WINDOW_BYTES || maxWindowBytes > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("largest receive window must be from " + MIN_WINDOW_BYTES + " to "
                    + Integer.MAX_VALUE + " B but is " + maxWindowBytes + " B");
        }
        if (totalBytes < maxWindowBytes) {
            throw new IllegalArgumentException("receive windows in total must be at least the largest window, "
                    + maxWindowBytes + " B, but are " + totalBytes + " B");
        }
        this.maxWindowBytes = maxWindowBytes;
        this.totalBytes = totalBytes;
    }

    public void onFlowOpened() {
        openFlows++;
    }

    /** @throws IllegalStateException if no flow is open */
    public void onFlowClosed() {
        if (openFlows == 0) {
            throw new IllegalStateException("a flow was closed while none is open");
        }
        openFlows--;
    }

    public int openFlows() {
        return openFlows;
    }

    /** The present window of each flow, in bytes. */
    public int windowBytes() {
        int window = (int) Math.max(MIN_WINDOW_BYTES, Math.min(maxWindowBytes, totalBytes / Math.max(1, openFlows)));
        assert window <= maxWindowBytes && (window == MIN_WINDOW_BYTES || (long) window * openFlows <= totalBytes)
                : openFlows + " flows with windows of " + window + " B exceed their limits";
        return window;
    }
}
