package peppergauge.overload;

/**
 * Detects a standing queue: the queue delay has been above a target for an interval. This is the estimator of
 * CoDel (Nichols and Jacobson, "Controlling Queue Delay", ACM Queue 10(5), 2012; RFC 8289, sections 3.1 and 3.2),
 * which distinguishes a standing queue from a burst by the minimum delay.
 *
 * <p>The time between two samples counts for half an interval at most, so that a pause of the process followed by one
 * round does not count as a standing queue. One thread only.
 */
public final class StandingQueueDetector {

    private final double targetDelayMs;
    private final double intervalMs;
    private double recordedMs = Double.NaN;
    /** For how long the delay has been above the target without interruption; -1 if it is not. */
    private double aboveTargetMs = -1;

    private double minDelayMs = Double.POSITIVE_INFINITY;
    private boolean wasWithinTarget;

    /**
     * @param targetDelayMs the delay that is acceptable permanently, over 0
     * @param intervalMs how long the delay may be above it, over 0
     * @throws IllegalArgumentException if a value is out of range
     */
    public StandingQueueDetector(double targetDelayMs, double intervalMs) {
        ConfigChecks.require(targetDelayMs > 0, "targetDelayMs", targetDelayMs, "more than 0");
        ConfigChecks.require(intervalMs > 0, "intervalMs", intervalMs, "more than 0");
        this.targetDelayMs = targetDelayMs;
        this.intervalMs = intervalMs;
    }

    /** Records the delay of the task that is taken from the queue now; 0 if the queue is empty. */
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
        assert aboveTargetMs == -1 || aboveTargetMs >= 0 : "negative time above the target: " + aboveTargetMs + " ms";
        assert minDelayMs <= delayMs : "minimum delay of " + minDelayMs + " ms exceeds a sample of " + delayMs + " ms";
        recordedMs = nowMs;
    }

    /** Whether there is a standing queue, as of the last sample. */
    public boolean isStanding() {
        return aboveTargetMs >= intervalMs;
    }

    /** Whether the last sample was above the target. */
    public boolean isAboveTarget() {
        return aboveTargetMs >= 0;
    }

    /** The minimum delay since {@link #startInterval}, or since it rose above the target; 0 without a sample. */
    public double minDelayMs() {
        return minDelayMs == Double.POSITIVE_INFINITY ? 0 : minDelayMs;
    }

    /** Whether a sample since {@link #startInterval} was within the target. */
    public boolean wasWithinTarget() {
        return wasWithinTarget;
    }

    /** Starts a new interval for {@link #minDelayMs} and {@link #wasWithinTarget}. */
    public void startInterval() {
        minDelayMs = Double.POSITIVE_INFINITY;
        wasWithinTarget = false;
    }
}
