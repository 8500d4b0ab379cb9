package peppergauge.forecast.hits;

/**
 * What a change does.
 *
 * @param now as it is placed now
 * @param soon over the first {@link Forecaster#SOON_MS} after the change began, memories being cold at first
 * @param steady once they are warm
 */
public record Forecast(HitRates now, HitRates soon, HitRates steady) {}
