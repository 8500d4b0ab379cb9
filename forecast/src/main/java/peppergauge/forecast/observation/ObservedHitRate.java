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
        /** Nothing is missing; the hit rate is known. */
        NOTHING,
        /** There are too few responses. */
        ANSWERS,
        /** There are too few responses for rare keys, whose time gives the time of a miss. */
        SURE_MISSES,
        /** There are too few responses for keys that were sent to the same server shortly before. */
        SURE_HITS,
        /** Hits are not clearly faster than misses. */
        SAVING,
        /** The time between reports is too long for the observed time. */
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
