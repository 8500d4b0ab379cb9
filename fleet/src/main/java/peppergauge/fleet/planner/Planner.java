package peppergauge.fleet.planner;

import java.util.Map;
import peppergauge.promises.ZoneWeights;

/**
 * Decides zone weights and makes forecasts. One thread calls {@link #plan}, {@link #report} and the methods for the
 * planner's state, another one the methods for forecasts and their state.
 */
public interface Planner {

    /** Planner that always returns neutral weights and makes no forecasts. */
    Planner NONE = (nowMs, view) -> ZoneWeights.NEUTRAL;

    /**
     * Returns the weights to publish.
     *
     * @param nowMs Unix time, ms
     */
    ZoneWeights plan(long nowMs, FleetView view);

    /** Returns an immutable report for the status page: maps, lists, texts and numbers. */
    default Object report() {
        return Map.of();
    }

    /** Updates forecasts and returns an immutable copy of them, by text of the query. May take seconds. */
    default Map<String, ForecastAnswer> forecasts(long nowMs, FleetView view) {
        return Map.of();
    }

    /** Returns the state of forecasts that survives a restart, in the planner's own format. */
    default byte[] exportForecastState() {
        return new byte[0];
    }

    /**
     * Restores what {@link #exportForecastState} returned, before the first forecast.
     *
     * @throws IllegalArgumentException if it cannot be used; then forecasts start over
     */
    default void importForecastState(byte[] state) {}

    /** Returns the state of the planner that survives a restart, in the planner's own format. */
    default byte[] exportState() {
        return new byte[0];
    }

    /**
     * Restores what {@link #exportState} returned, before the first plan.
     *
     * @throws IllegalArgumentException if it cannot be used; then the planner starts over
     */
    default void importState(byte[] state) {}
}
