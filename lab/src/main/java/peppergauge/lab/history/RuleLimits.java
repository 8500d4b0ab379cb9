package peppergauge.lab.history;

/**
 * The limits that the rules check against.
 *
 * @param socketSlackMs by how much an event on a socket may be later than its limit
 * @param responseSlackMs by how much more a final response may be late
 * @param drainGraceMs how long a sidecar may still send to a server after it was told that the server is draining
 * @param recoveryMs time after the end of the last fault within which service must have recovered
 * @param windowMs length of the window over which service is counted
 * @param recoveryTolerance by how much the share of served requests may stay below the usual share after recovery
 * @param maxStep by how much a reader of fleet tables may change a factor at once
 * @param stepIntervalMs time between two such steps
 */
public record RuleLimits(
        double socketSlackMs,
        double responseSlackMs,
        double drainGraceMs,
        double recoveryMs,
        double windowMs,
        double recoveryTolerance,
        double maxStep,
        double stepIntervalMs) {

    private static final double SOCKET_SLACK_MS = 50;
    private static final double RECOVERY_TOLERANCE = 0.02;
    private static final double DEFAULT_MAX_STEP = 0.1;
    private static final double DEFAULT_STEP_INTERVAL_MS = 5_000;

    /** Returns limits with the slack that the protocol allows on sockets and the default steps of fleet tables. */
    public static RuleLimits of(double responseSlackMs, double drainGraceMs, double recoveryMs, double windowMs) {
        return new RuleLimits(
                SOCKET_SLACK_MS,
                responseSlackMs,
                drainGraceMs,
                recoveryMs,
                windowMs,
                RECOVERY_TOLERANCE,
                DEFAULT_MAX_STEP,
                DEFAULT_STEP_INTERVAL_MS);
    }

    /** Returns the same limits with other steps for readers of fleet tables. */
    public RuleLimits withSteps(double otherMaxStep, double otherStepIntervalMs) {
        return new RuleLimits(
                socketSlackMs,
                responseSlackMs,
                drainGraceMs,
                recoveryMs,
                windowMs,
                recoveryTolerance,
                otherMaxStep,
                otherStepIntervalMs);
    }
}
