package peppergauge.plugin.rules;

/**
 * How long a request may wait for one plug-in.
 *
 * @param callMs time from queuing the call to the verdict, ms; above 0
 */
public record Budget(double callMs) {

    /** Time until the budget or the deadline of the request ends, whichever is first, ms; at least 0. */
    public double waitMs(double nowMs, double deadlineMs) {
        return Math.max(0, Math.min(callMs, deadlineMs - nowMs));
    }
}
