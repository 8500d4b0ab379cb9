package peppergauge.overload;

/**
 * Estimates, from the times of the event loop's rounds, when the input of a round arrived at the kernel and how long it
 * waited there, since the kernel does not report this. A round is a select, the handling of ready sockets, and the
 * queued tasks.
 *
 * <p>Times are in ms, by the same clock; one that lies before the latest counts as the latest. One thread only.
 */
public final class EventLoopLatency {

    /** A select that took less time than this did not wait: a socket was ready when it was called. */
    static final double IMMEDIATE_SELECT_MS = 0.2;

    private final double selectIntervalMs;
    private final double slackMs;
    private double latestMs = Double.NEGATIVE_INFINITY;
    private double roundEndedMs = Double.NaN;
    private double selectReturnedMs = Double.NaN;
    private double earliestArrivalMs = Double.NEGATIVE_INFINITY;
    private double stalledMs;
    /**
     * The last select exceeded its interval and nothing was read: it may not have checked the sockets after a pause.
     */
    private boolean mayHaveMissedInput;

    /**
     * @param intervalMs how long a select waits at most, over 0
     * @param slackMs by how much a select may exceed the interval without a pause of the process, 0 or more
     * @throws IllegalArgumentException if a value is out of range
     */
    public EventLoopLatency(double intervalMs, double slackMs) {
        ConfigChecks.require(intervalMs > 0, "selectIntervalMs", intervalMs, "more than 0");
        ConfigChecks.require(slackMs >= 0, "slackMs", slackMs, "0 or more");
        this.selectIntervalMs = intervalMs;
        this.slackMs = slackMs;
    }

    /**
     * The select of a new round has returned. If the end of the last round was not reported, input may have arrived
     * since its select.
     */
    public void onSelectReturned(double nowMs) {
        double previousSelectMs = mayHaveMissedInput ? earliestArrivalMs : selectReturnedMs;
        selectReturnedMs = monotonic(nowMs);
        stalledMs = 0;
        if (Double.isNaN(previousSelectMs)) {
            earliestArrivalMs = selectReturnedMs;
            return;
        }
        double selectDurationMs = selectReturnedMs - roundEndedMs;
        if (Double.isNaN(selectDurationMs) || selectDurationMs < (mayHaveMissedInput ? slackMs : IMMEDIATE_SELECT_MS)) {
            // Input that arrived during the last round was left for this select.
            earliestArrivalMs = previousSelectMs;
        } else if (selectDurationMs > selectIntervalMs + slackMs) {
            // The process was paused or throttled during the select: input may have arrived at any time of it.
            earliestArrivalMs = roundEndedMs;
            stalledMs = selectDurationMs - selectIntervalMs;
        } else {
            earliestArrivalMs = selectReturnedMs;
        }
        roundEndedMs = Double.NaN;
        assert earliestArrivalMs <= selectReturnedMs
                : "input arrived after it was read: " + earliestArrivalMs + " > " + selectReturnedMs;
        assert stalledMs >= 0 : "negative stall: " + stalledMs + " ms";
    }

    /**
     * All tasks of the round are done; select is called next.
     *
     * @param hasRead whether anything was read. After a pause of the process (SIGSTOP) a select returns without
     *     checking the sockets, and the next select finds the input
     */
    public void onRoundEnded(double nowMs, boolean hasRead) {
        roundEndedMs = monotonic(nowMs);
        mayHaveMissedInput = stalledMs > 0 && !hasRead;
    }

    /** The earliest time at which the input of this round may have arrived. */
    public double earliestArrivalMs() {
        return earliestArrivalMs;
    }

    /** The midpoint of the earliest and the latest time at which the input of this round may have arrived. */
    public double likelyArrivalMs() {
        return (earliestArrivalMs + selectReturnedMs) / 2;
    }

    /**
     * How long the input of this round may have waited when the select returned, in ms; 0 if select waited for input.
     */
    public double queueDelayMs() {
        return Double.isNaN(selectReturnedMs) ? 0 : selectReturnedMs - earliestArrivalMs;
    }

    /**
     * By how many ms the select of this round exceeded its interval, else 0. Pauses outside of select are not detected.
     */
    public double stalledMs() {
        return stalledMs;
    }

    /** The given time, or the latest one if that is later. */
    private double monotonic(double nowMs) {
        latestMs = Math.max(latestMs, nowMs);
        return latestMs;
    }
}
