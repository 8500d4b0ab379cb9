package peppergauge.overload;

import java.util.Arrays;

/** Counts recent requests by level, the highest priority first, with exponential decay. One thread only. */
final class PriorityHistogram {

    private final double[] counts;
    private double total;

    PriorityHistogram(int levels) {
        counts = new double[levels];
    }

    /** Counts a request. */
    void record(int level) {
        counts[level]++;
        total++;
    }

    /** Halves all counts; to be called once an interval. */
    void decay() {
        for (int level = 0; level < counts.length; level++) {
            counts[level] /= 2;
        }
        total /= 2;
        assert Math.abs(Arrays.stream(counts).sum() - total) <= 1e-6 * (1 + total)
                : "the sum of the levels differs from the total of " + total;
    }

    /**
     * The number of levels, from the highest priority on, that contain at least {@code share} of the recent requests.
     */
    int levelsCovering(double share) {
        if (share >= 1) {
            return counts.length;
        }
        if (total < 1) {
            return (int) Math.ceil(share * counts.length);
        }
        double target = share * total;
        int level = 0;
        for (double covered = 0; covered < target && level < counts.length; level++) {
            covered += counts[level];
        }
        return level;
    }
}
