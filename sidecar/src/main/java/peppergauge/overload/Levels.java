package peppergauge.overload;

import java.util.Arrays;

/**
 * How many sessions came lately at each level, the dearest first, and down to which level a given share of them
 * lies: DAGOR's histogram (Zhou et al., SoCC 2018, section 4.2), by which a step of the admission level is a step in
 * load whatever the mix of classes is.
 */
final class Levels {

    private final double[] came;
    private double all;

    Levels(int count) {
        came = new double[count];
    }

    void came(int level) {
        came[level]++;
        all++;
    }

    /** Lets what came before count half: the mix of the last two or three intervals decides. */
    void fade() {
        for (int level = 0; level < came.length; level++) {
            came[level] /= 2;
        }
        all /= 2;
        assert Math.abs(Arrays.stream(came).sum() - all) <= 1e-6 * (1 + all) : "the levels' sum is not " + all;
    }

    /** The number of levels, from the dearest on, that hold at least {@code share} of what came. */
    int holding(double share) {
        if (share >= 1) {
            return came.length;
        }
        if (all < 1) {
            return (int) Math.ceil(share * came.length);
        }
        double wanted = share * all;
        int level = 0;
        for (double held = 0; held < wanted && level < came.length; level++) {
            held += came[level];
        }
        return level;
    }
}
