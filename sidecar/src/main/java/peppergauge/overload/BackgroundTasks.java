package peppergauge.overload;

import java.util.Arrays;

/** Tracks which background tasks are suspended. One thread only. */
final class BackgroundTasks {

    private static final BackgroundTask[] ALL = BackgroundTask.values();

    /** The last time at which each task was to be suspended, in ms. */
    private final double[] suspendedMs = new double[ALL.length];

    BackgroundTasks() {
        Arrays.fill(suspendedMs, Double.NEGATIVE_INFINITY);
    }

    /** Records the present level of overload. */
    void onOverloadLevel(double nowMs, OverloadLevel level) {
        for (BackgroundTask task : ALL) {
            if (level.compareTo(task.suspendedFrom) >= 0) {
                suspendedMs[task.ordinal()] = nowMs;
            }
        }
    }

    /** Whether a task may run now. */
    boolean isAllowed(double nowMs, BackgroundTask task) {
        return nowMs - suspendedMs[task.ordinal()] >= task.resumeAfterMs;
    }
}
