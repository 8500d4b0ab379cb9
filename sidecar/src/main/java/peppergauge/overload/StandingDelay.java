package peppergauge.overload;

/**
 * Whether a queue stands: its delay has not been under the target once for a whole interval.
 *
 * <p>This is the estimator of CoDel (Nichols and Jacobson, "Controlling Queue Delay", ACM Queue 10(5), 2012; RFC 8289,
 * sections 3.1 and 3.2): the minimum over an interval tells a standing queue from a burst, which the average does
 * not, since the minimum of a queue that empties is near 0 however long it got. One thread only.
 *
 * <p>CoDel sees a packet every few microseconds; here a stretch without samples may be a pause of the process, in
 * which nothing was there to be slow. So a stretch counts for half an interval at most: three samples over the
 * target, and a pause with one round to catch up never makes a standing queue.
 */
public final class StandingDelay {

    private final double targetMs;
    private final double intervalMs;
    private double sampledMs = Double.NaN;
    /** How long the delay has been over the target without a break, as far as samples show; -1 when it is not. */
    private double aboveMs = -1;

    private double leastMs = Double.POSITIVE_INFINITY;
    private boolean wasShort;

    /**
     * @param targetMs the delay that a queue may keep for good, over 0
     * @param intervalMs how long it may be over it, over 0
     * @throws IllegalArgumentException if a figure is out of its range
     */
    public StandingDelay(double targetMs, double intervalMs) {
        Range.require(targetMs > 0, "targetMs", targetMs);
        Range.require(intervalMs > 0, "intervalMs", intervalMs);
        this.targetMs = targetMs;
        this.intervalMs = intervalMs;
    }

    /** The delay, in ms, of what is taken from the queue now; 0 when it is empty. */
    public void sample(double nowMs, double delayMs) {
        if (delayMs <= targetMs) {
            aboveMs = -1;
            wasShort = true;
        } else if (aboveMs < 0) {
            aboveMs = 0;
            leastMs = delayMs;
        } else {
            aboveMs += Math.max(0, Math.min(nowMs - sampledMs, intervalMs / 2));
        }
        leastMs = Math.min(leastMs, delayMs);
        assert aboveMs == -1 || aboveMs >= 0 : "over the target for " + aboveMs;
        assert leastMs <= delayMs : "the least of them is " + leastMs + ", and one " + delayMs;
        sampledMs = nowMs;
    }

    /** Whether a queue stands, as of the last sample. */
    public boolean stands() {
        return aboveMs >= intervalMs;
    }

    /** Whether the last sample was over the target: a queue, standing or not. */
    public boolean above() {
        return aboveMs >= 0;
    }

    /** The least delay, ms, since {@link #turn} or since it went over the target; 0 before a sample. */
    public double leastMs() {
        return leastMs == Double.POSITIVE_INFINITY ? 0 : leastMs;
    }

    /** Whether a sample since {@link #turn} was at most the target. */
    public boolean wasShort() {
        return wasShort;
    }

    /** Begins a new stretch for {@link #leastMs} and {@link #wasShort}. */
    public void turn() {
        leastMs = Double.POSITIVE_INFINITY;
        wasShort = false;
    }
}
