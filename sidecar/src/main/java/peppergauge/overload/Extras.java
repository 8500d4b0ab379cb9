package peppergauge.overload;

import java.util.Arrays;

/** Which work that can wait is done at present. One thread only. */
final class Extras {

    private static final BackgroundTask[] ALL = BackgroundTask.values();

    /** When each was last to be stopped. */
    private final double[] stoppedMs = new double[ALL.length];

    Extras() {
        Arrays.fill(stoppedMs, Double.NEGATIVE_INFINITY);
    }

    void see(double nowMs, OverloadLevel depth) {
        for (BackgroundTask extra : ALL) {
            if (depth.compareTo(extra.stopsAt) >= 0) {
                stoppedMs[extra.ordinal()] = nowMs;
            }
        }
    }

    boolean runs(double nowMs, BackgroundTask extra) {
        return nowMs - stoppedMs[extra.ordinal()] >= extra.backAfterMs;
    }
}
