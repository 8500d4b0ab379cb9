package peppergauge.promises.outcome;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Requests that met and missed an objective, and whether the lower confidence bound of the miss ratio is above a limit.
 *
 * <p>The bound is the Jeffreys interval: a quantile of Beta(missed + 1/2, met + 1/2), which keeps its level at few
 * requests and at ratios near 0 (Brown, Cai, DasGupta: Interval Estimation for a Binomial Proportion, Statistical
 * Science 16, 2001).
 *
 * @param met 0 or more; {@code kept} in JSON
 * @param missed 0 or more
 */
public record OutcomeCounts(@JsonProperty("kept") long met, long missed) {

    /** No requests. */
    public static final OutcomeCounts ZERO = new OutcomeCounts(0, 0);

    /** Probability that the miss ratio is below the lower bound. */
    private static final double SIGNIFICANCE = 0.01;

    public OutcomeCounts {
        assert met >= 0 && missed >= 0
                : "expected outcome counts of 0 or more but was met=" + met + ", missed=" + missed;
    }

    /** Returns the number of requests. */
    public long total() {
        return met + missed;
    }

    /** Returns the sum of both. */
    public OutcomeCounts plus(OutcomeCounts other) {
        return new OutcomeCounts(met + other.met, missed + other.missed);
    }

    /** Returns the share of requests that missed, 0 without requests. */
    public double missRatio() {
        return total() == 0 ? 0 : (double) missed / total();
    }

    /** Returns whether the miss ratio is above a limit with confidence. */
    public boolean isMissRatioAbove(double limit) {
        // Most cases are decided by the ratio alone. The lower bound, a quantile, is above the limit exactly if less
        // than its probability lies below the limit.
        return missRatio() > limit
                && BetaDistribution.cumulativeProbability(limit, missed + 0.5, met + 0.5) < SIGNIFICANCE;
    }
}
