package peppergauge.forecast.memory;

import java.util.List;

/**
 * What backend servers' memories may be like.
 *
 * @param points each as likely as its weight; weights add up to 1
 * @param saving share of the work that a remembered key saves
 * @param savingError its standard error
 */
public record MemoryEstimate(List<Point> points, double saving, double savingError) {

    /**
     * @param lifeMs a key is remembered for so long after it was last met
     * @param keys remembered at most, the one met longest ago is forgotten first
     */
    public record Point(double lifeMs, double keys, double weight) {}

    public MemoryEstimate {
        points = List.copyOf(points);
        if (points.isEmpty()) {
            throw new IllegalArgumentException("no point");
        }
        assert Math.abs(points.stream().mapToDouble(Point::weight).sum() - 1) < 1e-9 : "weights of " + points;
        assert saving >= 0 && saving <= 1 && savingError >= 0 : "saving " + saving + ", off by " + savingError;
    }

    /** Known for sure, as where an operator tells it. */
    public static MemoryEstimate told(double lifeMs, double keys, double saving) {
        return new MemoryEstimate(List.of(new Point(lifeMs, keys, 1)), saving, 0);
    }
}
