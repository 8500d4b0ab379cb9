package peppergauge.overload;

import java.util.Arrays;

/** Which work that can wait is done at present. One thread only. */
final class BackgroundTasks {

    private static final BackgroundTask[] ALL = BackgroundTask.values();

    /** When each was last to be stopped. */
    private final double[] suspendedMs = new double[ALL.length];

    BackgroundTasks() {
        Arrays.fill(suspendedMs, Double.NEGATIVE_INFINITY);
    }

    void onOverloadLevel(double nowMs, OverloadLevel level) {
        for (BackgroundTask task : ALL) {
            if (level.compareTo(task.suspendedFrom) >= 0) {
                suspendedMs[task.ordinal()] = nowMs;
            }
        }
    }

    boolean isAllowed(double nowMs, BackgroundTask task) {
        return nowMs - suspendedMs[task.ordinal()] >= task.resumeAfterMs;
    }
}
