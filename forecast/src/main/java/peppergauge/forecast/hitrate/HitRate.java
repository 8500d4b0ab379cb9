package peppergauge.forecast.hitrate;

/** Share of requests whose key is cached at the server, with a 90% interval. In JSON under these names. */
public record HitRate(double mean, double low, double high) {

    /** Hit rate of which nothing is known. */
    public static final HitRate UNKNOWN = new HitRate(0.5, 0, 1);

    /** Half of a 90% interval in standard errors. */
    static final double Z_90 = 1.645;

    public HitRate {
        if (!(0 <= low && low <= mean && mean <= high && high <= 1)) {
            throw new IllegalArgumentException(
                    "expected 0 <= low <= mean <= high <= 1 but was low=" + low + ", mean=" + mean + ", high=" + high);
        }
    }

    /** Returns a hit rate with these standard errors downwards and upwards. */
    static HitRate around(double mean, double down, double up) {
        double clamped = Math.max(0, Math.min(1, mean));
        return new HitRate(clamped, Math.max(0, clamped - Z_90 * down), Math.min(1, clamped + Z_90 * up));
    }

    /** Returns this hit rate shifted, with an additional standard error. */
    HitRate shifted(double by, double error) {
        return around(
                mean + by, StrictMath.hypot((mean - low) / Z_90, error), StrictMath.hypot((high - mean) / Z_90, error));
    }

    /** Returns the interval of an estimate of this hit rate that has a standard error of its own. */
    public HitRate widenedBy(double error) {
        return shifted(0, error);
    }

    /** Returns whether the interval contains a hit rate. */
    public boolean contains(double rate) {
        return low <= rate && rate <= high;
    }
}
