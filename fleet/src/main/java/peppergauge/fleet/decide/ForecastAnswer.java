package peppergauge.fleet.decide;

import peppergauge.forecast.hits.HitRate;

/**
 * What a change would do to the fleet's hit rate, each as a mean and an interval that is to hold nine times in ten.
 *
 * @param change as it is asked about
 * @param atMs when it was reckoned, Unix time
 * @param trusted if not, forecasts proved wrong lately, and nothing is said: 0 to 1
 * @param now as sessions are placed now
 * @param soon over the 30 s after the change began
 * @param steady once memories are warm
 * @param score how forecasts of any change fared until then
 */
public record ForecastAnswer(
        String change, long atMs, boolean trusted, HitRate now, HitRate soon, HitRate steady, ForecastScore score) {}
