package peppergauge.snapshot.storage;

import java.util.function.Consumer;

/** Logs the first of a series of failures, then one a minute, and the recovery. Thread-safe. */
public final class FailureLog {

    private static final double REPEAT_INTERVAL_MS = 60_000;

    private final Consumer<String> log;
    private int failures;
    private double loggedMs;

    public FailureLog(Consumer<String> log) {
        this.log = log;
    }

    /**
     * Logs a failure unless one was logged within the last minute.
     *
     * @param operation that failed
     */
    public synchronized void onFailure(double nowMs, String operation, String reason) {
        failures++;
        if (failures == 1 || nowMs - loggedMs >= REPEAT_INTERVAL_MS) {
            loggedMs = nowMs;
            log.accept(operation + ": " + reason + (failures > 1 ? " (" + failures + " times in a row)" : ""));
        }
    }

    /** Logs a recovery if the last call failed. */
    public synchronized void onSuccess(String operation) {
        if (failures > 0) {
            log.accept(operation + " works again after " + failures + " failures");
            failures = 0;
        }
    }
}
