package peppergauge.snapshot.storage;

import java.util.function.Consumer;

/** One line where a failure begins, one a minute while it lasts, one when it is over: not one for each attempt. */
public final class FailureLog {

    private static final double AGAIN_MS = 60_000;

    private final Consumer<String> log;
    private int failures;
    private double toldMs;

    public FailureLog(Consumer<String> log) {
        this.log = log;
    }

    /** Something failed; {@code what} ends before the reason. */
    public synchronized void failed(double nowMs, String what, String why) {
        failures++;
        if (failures == 1 || nowMs - toldMs >= AGAIN_MS) {
            toldMs = nowMs;
            log.accept(what + ": " + why + (failures > 1 ? " (" + failures + " times in a row)" : ""));
        }
    }

    /** It works, or works again. */
    public synchronized void worked(String what) {
        if (failures > 0) {
            log.accept(what + " works again after " + failures + " failures");
            failures = 0;
        }
    }
}
