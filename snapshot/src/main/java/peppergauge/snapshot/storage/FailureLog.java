package peppergauge.snapshot.storage;

/** Logs the first of a series of failures, then one a minute, and the recovery. Thread-safe. */
public final class FailureLog {

    private static final double REPEAT_INTERVAL_MS = 60_000;

    private final EventLog log;
    private final String failureEvent;
    private final String recoveryEvent;
    private int failures;
    private double loggedMs;

    /**
     * Creates a log of events. A failure has the fields {@code operation}, {@code reason} and {@code failures}, the
     * number of failures in a row; a recovery has {@code operation} and {@code failures}.
     */
    public FailureLog(EventLog log, String failureEvent, String recoveryEvent) {
        this.log = log;
        this.failureEvent = failureEvent;
        this.recoveryEvent = recoveryEvent;
    }

    /**
     * Logs a failure unless one was logged within the last minute.
     *
     * @param nowMs time by the wall clock or a monotonic clock, the same in all calls
     * @param operation that failed
     */
    public synchronized void onFailure(double nowMs, String operation, String reason) {
        failures++;
        if (failures == 1 || nowMs - loggedMs >= REPEAT_INTERVAL_MS) {
            loggedMs = nowMs;
            log.event(failureEvent, "operation", operation, "reason", reason, "failures", failures);
        }
    }

    /** Logs a recovery if the last call reported a failure. */
    public synchronized void onSuccess(String operation) {
        if (failures > 0) {
            log.event(recoveryEvent, "operation", operation, "failures", failures);
            failures = 0;
        }
    }
}
