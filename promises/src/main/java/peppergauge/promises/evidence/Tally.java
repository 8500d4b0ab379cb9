package peppergauge.promises.evidence;

import org.apache.commons.statistics.distribution.BetaDistribution;

/**
 * Sessions kept and missed, and bounds of confidence on the share that is missed.
 *
 * <p>The bounds are Jeffreys': the quantiles of Beta(missed + 1/2, kept + 1/2), which hold their level at few sessions
 * and at shares near 0, where Wald's fail (Brown, Cai, DasGupta: Interval Estimation for a Binomial Proportion,
 * Statistical Science 16, 2001).
 */
public record Tally(long kept, long missed) {

    public Tally {
        assert kept >= 0 && missed >= 0 : "a tally under 0: " + kept + ", " + missed;
    }

    public static final Tally NONE = new Tally(0, 0);

    /** Chance that the share is under the lower, or over the upper bound. */
    private static final double TAIL = 0.01;

    public long all() {
        return kept + missed;
    }

    public Tally plus(Tally other) {
        return new Tally(kept + other.kept, missed + other.missed);
    }

    /** 0 where nothing was seen. */
    public double missShare() {
        return all() == 0 ? 0 : (double) missed / all();
    }

    /** The share is over this, almost surely; 0 where nothing was seen or missed. */
    public double atLeast() {
        return missed == 0 ? 0 : beta().inverseCumulativeProbability(TAIL);
    }

    /** Whether more than this share is missed, almost surely. */
    public boolean surelyOver(double share) {
        // The quantile is dear, and of most cells the plain share says enough.
        return missShare() > share && atLeast() > share;
    }

    private BetaDistribution beta() {
        return BetaDistribution.of(missed + 0.5, kept + 0.5);
    }
}
