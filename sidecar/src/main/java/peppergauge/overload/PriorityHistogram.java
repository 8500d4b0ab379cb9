package peppergauge.overload;

import java.util.Arrays;

/**
 * How many sessions came lately at each level, the dearest first, and down to which level a given share of them
 * lies: DAGOR's histogram (Zhou et al., SoCC 2018, section 4.2), by which a step of the admission level is a step in
 * load whatever the mix of classes is.
 */
final class PriorityHistogram {

    private final double[] counts;
    private double total;

    PriorityHistogram(int count) {
        counts = new double[count];
    }

    void record(int level) {
        counts[level]++;
        total++;
    }

    /** Lets what came before count half: the mix of the last two or three intervals decides. */
    void decay() {
        for (int level = 0; level < counts.length; level++) {
            counts[level] /= 2;
        }
        total /= 2;
        assert Math.abs(Arrays.stream(counts).sum() - total) <= 1e-6 * (1 + total) : "the levels' sum is not " + total;
    }

    /** The number of levels, from the dearest on, that hold at least {@code share} of what came. */
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
