package peppergauge.fleet.decide;

import java.util.Map;
import peppergauge.promises.ZoneWeights;

/** Decides how stations lean. One thread calls it. */
public interface Planner {

    /** Steers nothing. */
    Planner NONE = (nowMs, merged) -> ZoneWeights.NEUTRAL;

    /** @param nowMs Unix time, ms */
    ZoneWeights plan(long nowMs, MergedView merged);

    /** For people: maps, lists, texts and numbers that do not change any more. Asked after each plan. */
    default Object report() {
        return Map.of();
    }

    /**
     * What changes would do, by how they are asked about; a copy that does not change. It may take its time: a thread
     * of its own calls it, beside the one that plans.
     */
    default Map<String, ForecastAnswer> forecasts(long nowMs, MergedView merged) {
        return Map.of();
    }

    /** What of its forecasts has to outlive the process, of a form of its own; the thread that has it forecast asks. */
    default byte[] forecastState() {
        return new byte[0];
    }

    /**
     * Goes on from what {@link #forecastState} gave, before the first forecast.
     *
     * @throws IllegalArgumentException if it is of no use: then it starts anew
     */
    default void restoreForecasts(byte[] state) {}

    /** What has to outlive the process; of a form of the planner's own. */
    default byte[] state() {
        return new byte[0];
    }

    /**
     * Goes on from what {@link #state} gave, before the first plan.
     *
     * @throws IllegalArgumentException if it is of no use: then it starts anew
     */
    default void restore(byte[] state) {}
}
