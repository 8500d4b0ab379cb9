package peppergauge.fleet.planner;

import peppergauge.forecast.hitrate.HitRate;

/**
 * Forecast of the fleet's hit rate under a change: means with 90% prediction intervals. Sent as JSON under these names.
 *
 * @param change text of the query
 * @param atMs time of the forecast, Unix ms
 * @param trusted whether recent forecasts were right; if not, all intervals are 0 to 1
 * @param now hit rate without the change
 * @param soon hit rate over the 30 s after the change begins
 * @param steady hit rate once caches are warm
 * @param score of past forecasts
 */
public record ForecastAnswer(
        String change, long atMs, boolean trusted, HitRate now, HitRate soon, HitRate steady, ForecastScore score) {}
