package peppergauge.forecast.cache;

import java.util.List;

/**
 * Estimate of the backend servers' caches: a set of possible sizes and lifetimes.
 *
 * @param points possible caches with their probabilities, which sum to 1
 * @param saving share of a request's work that a cached key saves
 * @param savingError standard error of the saving
 */
public record CacheEstimate(List<Point> points, double saving, double savingError) {

    /**
     * A possible cache.
     *
     * @param lifeMs time for which a key is retained after its last use, ms
     * @param keys most keys that are retained, evicted by least recent use
     * @param weight probability
     */
    public record Point(double lifeMs, double keys, double weight) {}

    public CacheEstimate {
        points = List.copyOf(points);
        if (points.isEmpty()) {
            throw new IllegalArgumentException("expected at least one point");
        }
        assert Math.abs(points.stream().mapToDouble(Point::weight).sum() - 1) < 1e-9
                : "expected weights that sum to 1 but was " + points;
        assert saving >= 0 && saving <= 1 && savingError >= 0
                : "expected a saving from 0 to 1 and an error of 0 or more but was saving=" + saving + ", savingError="
                        + savingError;
    }

    /** Returns the estimate of a cache that is known exactly. */
    public static CacheEstimate known(double lifeMs, double keys, double saving) {
        return new CacheEstimate(List.of(new Point(lifeMs, keys, 1)), saving, 0);
    }
}
