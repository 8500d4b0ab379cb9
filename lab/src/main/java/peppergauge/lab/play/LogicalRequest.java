package peppergauge.lab.play;

/** A client's request across all its attempts. */
final class LogicalRequest {

    final int kind;
    final int tenant;
    /** Key of the request; 0 for none. */
    final int key;
    /** Work at a backend server, in ms of a standard core. */
    final double workMs;

    final double worth;
    final double arrivedMs;
    final double deadlineMs;
    final boolean followsRetryAfter;
    final boolean unsafe;
    final boolean poison;
    /** Second of the run in which the request arrived. */
    int second;

    int attempts;
    /** Number of times that a server started to execute the request. */
    int executions;

    LogicalRequest(
            int kind,
            int tenant,
            int key,
            double workMs,
            double worth,
            double arrivedMs,
            double deadlineMs,
            boolean followsRetryAfter,
            boolean unsafe,
            boolean poison) {
        this.kind = kind;
        this.tenant = tenant;
        this.key = key;
        this.workMs = workMs;
        this.worth = worth;
        this.arrivedMs = arrivedMs;
        this.deadlineMs = deadlineMs;
        this.followsRetryAfter = followsRetryAfter;
        this.unsafe = unsafe;
        this.poison = poison;
    }
}
