package peppergauge.fleet.planner;

import peppergauge.forecast.hitrate.HitRate;

/**
 * A forecast compared with what was observed. Stored and sent as JSON under these names.
 *
 * @param change text of the query
 * @param part {@code soon} or {@code steady}
 * @param beganMs time when the change began, Unix ms
 * @param said the forecast
 * @param before hit rate observed before the change
 * @param seen hit rate observed after it
 * @param error standard error of the observation
 * @param held whether the forecast interval, widened by the error, contains the observation
 */
public record ForecastOutcome(
        String change,
        String part,
        long beganMs,
        HitRate said,
        double before,
        double seen,
        double error,
        boolean held) {}
