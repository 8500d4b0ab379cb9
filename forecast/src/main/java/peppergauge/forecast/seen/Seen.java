package peppergauge.forecast.seen;

/**
 * What the fleet's hit rate was over some time, or why that is not known.
 *
 * @param rate NaN where not known; beyond 0 to 1 where chance has it so
 * @param error its standard error by the number of answers and their spread
 */
public record Seen(double rate, double error, Lack lack) {

    /** What an estimate lacks. */
    public enum Lack {
        NOTHING,
        ANSWERS,
        SURE_MISSES,
        SURE_HITS,
        SAVING,
        CLOSE_REPORTS
    }

    static Seen no(Lack lack) {
        return new Seen(Double.NaN, Double.POSITIVE_INFINITY, lack);
    }

    public boolean known() {
        return lack == Lack.NOTHING;
    }
}
