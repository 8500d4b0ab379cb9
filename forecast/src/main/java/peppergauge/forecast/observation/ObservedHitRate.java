package peppergauge.forecast.observation;

/**
 * Hit rate of the fleet over a time as observed, or why it is unknown.
 *
 * @param rate NaN if unknown; by chance it may be outside of 0 to 1
 * @param error standard error
 * @param missing what the estimate lacks
 */
public record ObservedHitRate(double rate, double error, Missing missing) {

    /** Reason why a hit rate is unknown. */
    public enum Missing {
        NOTHING,
        ANSWERS,
        SURE_MISSES,
        SURE_HITS,
        SAVING,
        CLOSE_REPORTS
    }

    static ObservedHitRate unknown(Missing missing) {
        return new ObservedHitRate(Double.NaN, Double.POSITIVE_INFINITY, missing);
    }

    /** Returns whether the hit rate is known. */
    public boolean isKnown() {
        return missing == Missing.NOTHING;
    }
}
