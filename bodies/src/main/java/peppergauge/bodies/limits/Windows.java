package peppergauge.bodies.limits;

/**
 * How much of each flow may stand in memory between its two ends. All flows share one bound: the more there are, the
 * smaller each one's window, down to a least one, without which nothing would move. Below that the bound is passed
 * rather than a body stopped; as many flows as there are sockets bound it then.
 */
public final class Windows {

    /** Bytes that each flow has at the least. */
    public static final int LEAST = 16 * 1024;

    private final long each;
    private final long all;
    private int open;

    /**
     * @param each bytes of one flow at the most, {@link #LEAST} at the least
     * @param all bytes of all flows, {@code each} at the least
     */
    public Windows(long each, long all) {
        if (each < LEAST || each > Integer.MAX_VALUE || all < each) {
            throw new IllegalArgumentException("windows out of range");
        }
        this.each = each;
        this.all = all;
    }

    public void open() {
        open++;
    }

    public void close() {
        if (open == 0) {
            throw new IllegalStateException("no flow is open");
        }
        open--;
    }

    /** Flows that are open. */
    public int size() {
        return open;
    }

    /** Bytes that one flow may hold now. */
    public int share() {
        int share = (int) Math.max(LEAST, Math.min(each, all / Math.max(1, open)));
        assert share <= each && (share == LEAST || (long) share * open <= all) : open + " flows of " + share;
        return share;
    }
}
