package peppergauge.lab.history;

/**
 * The figures of the rules.
 *
 * @param slackMs by how much what crosses sockets may be later than its limit
 * @param answerMs by how much a final answer may be later still
 * @param drainMs after a sidecar was told that a server leaves, it may send there for so long
 * @param backMs after the last fault is healed, service must be as usual within this
 * @param windowMs over which service is counted
 * @param less by which a share of service is still as usual
 * @param step by how much a reader of fleet tables may move any factor at once
 * @param stepEveryMs time between two such steps
 */
public record Bounds(
        double slackMs,
        double answerMs,
        double drainMs,
        double backMs,
        double windowMs,
        double less,
        double step,
        double stepEveryMs) {

    /** As the protocol has it on sockets, a share of 0.02, and steps as they are by preset. */
    public static Bounds of(double answerMs, double drainMs, double backMs, double windowMs) {
        return new Bounds(50, answerMs, drainMs, backMs, windowMs, 0.02, 0.1, 5_000);
    }

    /** The same for readers with other steps. */
    public Bounds stepping(double most, double everyMs) {
        return new Bounds(slackMs, answerMs, drainMs, backMs, windowMs, less, most, everyMs);
    }
}
