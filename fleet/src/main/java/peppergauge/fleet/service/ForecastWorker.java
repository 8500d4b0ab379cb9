package peppergauge.fleet.service;

import java.util.Map;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.planner.ForecastAnswer;
import peppergauge.fleet.planner.Planner;
import peppergauge.log.Log;

/** Updates the planner's forecasts on a thread of its own, since a step can take seconds of CPU. */
final class ForecastWorker {

    private final Planner planner;
    private final MergeWorker merging;
    private volatile Map<String, ForecastAnswer> answers = Map.of();

    ForecastWorker(Planner planner, MergeWorker merging) {
        this.planner = planner;
        this.merging = merging;
        if (merging.forecastState().length > 0) {
            try {
                planner.importForecastState(merging.forecastState());
            } catch (RuntimeException unusable) {
                Log.event("fleet_forecast_state_unusable", "reason", unusable);
            }
        }
    }

    boolean step() {
        FleetView view = merging.forecastViews().poll();
        if (view == null) {
            return false;
        }
        answers = planner.forecasts(view.builtMs(), view);
        merging.forecastState(planner.exportForecastState());
        return true;
    }

    /** Returns the latest answers by query. Any thread. */
    Map<String, ForecastAnswer> answers() {
        return answers;
    }
}
