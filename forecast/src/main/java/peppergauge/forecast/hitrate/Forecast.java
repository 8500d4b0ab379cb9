package peppergauge.forecast.hitrate;

/**
 * Forecast of a change.
 *
 * @param now without the change
 * @param soon over the first {@link HitRateForecaster#SOON_MS} after its beginning, with cold caches at first
 * @param steady once caches are warm
 */
public record Forecast(HitRates now, HitRates soon, HitRates steady) {}
