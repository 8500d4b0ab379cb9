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
public final class StandingQueueDetector {

    private final double targetDelayMs;
    private final double intervalMs;
    private double recordedMs = Double.NaN;
    /** How long the delay has been over the target without a break, as far as samples show; -1 when it is not. */
    private double aboveTargetMs = -1;

    private double minDelayMs = Double.POSITIVE_INFINITY;
    private boolean wasWithinTarget;

    /**
     * @param targetMs the delay that a queue may keep for good, over 0
     * @param intervalMs how long it may be over it, over 0
     * @throws IllegalArgumentException if a figure is out of its range
     */
    public StandingQueueDetector(double targetMs, double intervalMs) {
        ConfigChecks.require(targetMs > 0, "targetMs", targetMs);
        ConfigChecks.require(intervalMs > 0, "intervalMs", intervalMs);
        this.targetDelayMs = targetMs;
        this.intervalMs = intervalMs;
    }

    /** The delay, in ms, of what is taken from the queue now; 0 when it is empty. */
    public void recordDelay(double nowMs, double delayMs) {
        if (delayMs <= targetDelayMs) {
            aboveTargetMs = -1;
            wasWithinTarget = true;
        } else if (aboveTargetMs < 0) {
            aboveTargetMs = 0;
            minDelayMs = delayMs;
        } else {
            aboveTargetMs += Math.max(0, Math.min(nowMs - recordedMs, intervalMs / 2));
        }
        minDelayMs = Math.min(minDelayMs, delayMs);
        assert aboveTargetMs == -1 || aboveTargetMs >= 0 : "over the target for " + aboveTargetMs;
        assert minDelayMs <= delayMs : "the least of them is " + minDelayMs + ", and one " + delayMs;
        recordedMs = nowMs;
    }

    /** Whether a queue stands, as of the last sample. */
    public boolean isStanding() {
        return aboveTargetMs >= intervalMs;
    }

    /** Whether the last sample was over the target: a queue, standing or not. */
    public boolean isAboveTarget() {
        return aboveTargetMs >= 0;
    }

    /** The least delay, ms, since {@link #turn} or since it went over the target; 0 before a sample. */
    public double minDelayMs() {
        return minDelayMs == Double.POSITIVE_INFINITY ? 0 : minDelayMs;
    }

    /** Whether a sample since {@link #turn} was at most the target. */
    public boolean wasWithinTarget() {
        return wasWithinTarget;
    }

    /** Begins a new stretch for {@link #leastMs} and {@link #wasShort}. */
    public void startInterval() {
        minDelayMs = Double.POSITIVE_INFINITY;
        wasWithinTarget = false;
    }
}
