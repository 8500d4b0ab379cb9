package peppergauge.snapshot.storage;

import java.util.function.Consumer;

/** Logs the first of a series of failures, then one a minute, and the recovery. Thread-safe. */
public final class FailureLog {

    private static final double REPEAT_INTERVAL_MS = 60_000;

    private final Listener listener;
    private int failures;
    private double loggedMs;

    /** Writes the failures and recoveries that are to be logged. */
    private interface Listener {

        void onFailure(String operation, String reason, int failures);

        void onRecovery(String operation, int failures);
    }

    /**
     * Creates a log of events. A failure has the fields {@code operation}, {@code reason} and {@code failures}, the
     * number of failures in a row; a recovery has {@code operation} and {@code failures}.
     */
    public FailureLog(EventLog log, String failureEvent, String recoveryEvent) {
        listener = new Listener() {
            @Override
            public void onFailure(String operation, String reason, int failures) {
                log.event(failureEvent, "operation", operation, "reason", reason, "failures", failures);
            }

            @Override
            public void onRecovery(String operation, int failures) {
                log.event(recoveryEvent, "operation", operation, "failures", failures);
            }
        };
    }

    /** Creates a log of messages in plain text. */
    public FailureLog(Consumer<String> log) {
        listener = new Listener() {
            @Override
            public void onFailure(String operation, String reason, int failures) {
                log.accept(operation + ": " + reason + (failures > 1 ? " (" + failures + " times in a row)" : ""));
            }

            @Override
            public void onRecovery(String operation, int failures) {
                log.accept(operation + " works again after " + failures + " failures");
            }
        };
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
            listener.onFailure(operation, reason, failures);
        }
    }

    /** Logs a recovery if the last call reported a failure. */
    public synchronized void onSuccess(String operation) {
        if (failures > 0) {
            listener.onRecovery(operation, failures);
            failures = 0;
        }
    }
}
