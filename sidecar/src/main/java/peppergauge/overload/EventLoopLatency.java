package peppergauge.overload;

/**
 * What the times of the reactor's rounds tell: since when the bytes of a round may have stood unread, how long that
 * was, and whether the process stood still.
 *
 * <p>A round is a select, the handling of what it found ready, and the owner's queue. All times are milliseconds from
 * one origin, as {@code session.Clock} gives them; one that lies before the last one counts as the last one. One
 * thread only.
 *
 * <p>A deadline reckoned from when a request was read is too late by the time that its bytes stood in the kernel, and
 * that time grows exactly when time is short. The kernel does not say when bytes came in, so this says the earliest
 * time that the rounds leave possible.
 */
public final class EventLoopLatency {

    /** A select that took less did not wait: something was ready when it was called. A bare call takes 0.01 ms. */
    static final double IMMEDIATE_SELECT_MS = 0.2;

    private final double selectIntervalMs;
    private final double slackMs;
    private double latestMs = Double.NEGATIVE_INFINITY;
    private double roundEndedMs = Double.NaN;
    private double selectReturnedMs = Double.NaN;
    private double earliestArrivalMs = Double.NEGATIVE_INFINITY;
    private double stalledMs;
    /** The last round's select overstayed and nothing was read: it may not have looked. */
    private boolean mayHaveMissedInput;

    /**
     * @param intervalMs how long a select waits at most, over 0
     * @param slackMs how much later than that a select may return with nothing amiss, 0 or more
     * @throws IllegalArgumentException if a figure is out of its range
     */
    public EventLoopLatency(double intervalMs, double slackMs) {
        ConfigChecks.require(intervalMs > 0, "selectIntervalMs", intervalMs);
        ConfigChecks.require(slackMs >= 0, "slackMs", slackMs);
        this.selectIntervalMs = intervalMs;
        this.slackMs = slackMs;
    }

    /**
     * The select of a new round has returned, whatever it found. The first one tells nothing of what came before; after
     * a round whose end was not told (it broke off), bytes may have stood since that round's select.
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
            // Not the end of the last round: bytes that came in while it ran were left for this select.
            earliestArrivalMs = previousSelectMs;
        } else if (selectDurationMs > selectIntervalMs + slackMs) {
            // It should have returned by itself: paused or throttled, with no word on when the bytes came.
            earliestArrivalMs = roundEndedMs;
            stalledMs = selectDurationMs - selectIntervalMs;
        } else {
            earliestArrivalMs = selectReturnedMs;
        }
        roundEndedMs = Double.NaN;
        assert earliestArrivalMs <= selectReturnedMs
                : "bytes came in after they were read: " + earliestArrivalMs + " > " + selectReturnedMs;
        assert stalledMs >= 0 : "stalled for " + stalledMs;
    }

    /**
     * All that the select found is handled and the owner's queue is empty: select is called next.
     *
     * @param read whether anything was read. A process that was stopped (SIGSTOP) gets back from its select with
     *     the time up and no look at the sockets: what came in meanwhile is found by the next one
     */
    public void onRoundEnded(double nowMs, boolean hasRead) {
        roundEndedMs = monotonic(nowMs);
        mayHaveMissedInput = stalledMs > 0 && !hasRead;
    }

    /** The earliest time at which bytes that this round handles may have come in. */
    public double earliestArrivalMs() {
        return earliestArrivalMs;
    }

    /** The likely time at which bytes that this round handles came in: halfway between the earliest and the latest. */
    public double likelyArrivalMs() {
        return (earliestArrivalMs + selectReturnedMs) / 2;
    }

    /** How long what this round handles may have stood unread when the select returned; 0 after a real wait. */
    public double queueDelayMs() {
        return Double.isNaN(selectReturnedMs) ? 0 : selectReturnedMs - earliestArrivalMs;
    }

    /**
     * By how much the select of this round overstayed its interval, 0 if it did not. A pause while something was
     * handled cannot be told from work and shows as a long round.
     */
    public double stalledMs() {
        return stalledMs;
    }

    private double monotonic(double nowMs) {
        latestMs = Math.max(latestMs, nowMs);
        return latestMs;
    }
}
