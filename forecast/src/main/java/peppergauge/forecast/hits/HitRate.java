package peppergauge.forecast.hits;

/** Share of sessions that find their key remembered, with an interval that holds it nine times in ten. */
public record HitRate(double mean, double low, double high) {

    /** Nothing is said. */
    public static final HitRate UNKNOWN = new HitRate(0.5, 0, 1);

    /** Half of an interval that holds nine in ten, in standard errors. */
    static final double NINETY = 1.645;

    public HitRate {
        if (!(0 <= low && low <= mean && mean <= high && high <= 1)) {
            throw new IllegalArgumentException("no hit rate: " + low + " <= " + mean + " <= " + high);
        }
    }

    /** From a mean that may be off by these standard errors downwards and upwards. */
    static HitRate around(double mean, double down, double up) {
        double held = Math.max(0, Math.min(1, mean));
        return new HitRate(held, Math.max(0, held - NINETY * down), Math.min(1, held + NINETY * up));
    }

    /** The same, moved, and with this standard error besides. */
    HitRate off(double by, double error) {
        return around(mean + by, Math.hypot((mean - low) / NINETY, error), Math.hypot((high - mean) / NINETY, error));
    }

    /** The interval of what is seen of it by an estimate with this standard error of its own. */
    public HitRate seenWith(double error) {
        return off(0, error);
    }

    public boolean holds(double seen) {
        return low <= seen && seen <= high;
    }
}
