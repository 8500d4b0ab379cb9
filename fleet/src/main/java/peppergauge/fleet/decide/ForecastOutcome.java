package peppergauge.fleet.decide;

import peppergauge.forecast.hits.HitRate;

/**
 * A forecast held against what followed.
 *
 * @param change as it is asked about
 * @param part soon or steady
 * @param beganMs when the change began, Unix time
 * @param said before it
 * @param before seen before it
 * @param seen after it, by an estimate
 * @param error standard error of that
 * @param held whether what was said holds what was seen, its error allowed for
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
