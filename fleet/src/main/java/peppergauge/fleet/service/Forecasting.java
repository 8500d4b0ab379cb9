package peppergauge.fleet.service;

import java.util.Map;
import peppergauge.fleet.decide.ForecastAnswer;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.decide.Planner;
import peppergauge.log.Log;

/** The duty that has the planner forecast. It can take seconds of a core, and no table waits for it. */
final class Forecasting {

    private final Planner planner;
    private final Merging merging;
    private volatile Map<String, ForecastAnswer> answers = Map.of();

    Forecasting(Planner planner, Merging merging) {
        this.planner = planner;
        this.merging = merging;
        if (merging.forecastState().length > 0) {
            try {
                planner.restoreForecasts(merging.forecastState());
            } catch (RuntimeException unusable) {
                Log.line("fleet", "forecasts start unproved: " + unusable);
            }
        }
    }

    boolean step() {
        MergedView view = merging.forecastFrom().take();
        if (view == null) {
            return false;
        }
        answers = planner.forecasts(view.builtMs(), view);
        merging.forecastState(planner.forecastState());
        return true;
    }

    /** The last ones; any thread. */
    Map<String, ForecastAnswer> answers() {
        return answers;
    }
}
