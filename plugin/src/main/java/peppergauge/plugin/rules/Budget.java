package peppergauge.plugin.rules;

/**
 * How long a session may wait for one plug-in.
 *
 * @param callMs from the hand-over to the verdict, ms, above 0
 */
public record Budget(double callMs) {

    /** Until the budget is used up or the session's deadline has come, whatever is first, ms; 0 at the least. */
    public double waitMs(double nowMs, double deadlineMs) {
        return Math.max(0, Math.min(callMs, deadlineMs - nowMs));
    }
}
