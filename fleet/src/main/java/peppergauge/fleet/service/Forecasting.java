package peppergauge.fleet.service;

import java.util.Map;
import peppergauge.fleet.decide.ForecastAnswer;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.decide.Planner;

/** The duty that has the planner forecast. It can take seconds of a core, and no table waits for it. */
final class Forecasting {

    private final Planner planner;
    private final Latest<MergedView> views;
    private volatile Map<String, ForecastAnswer> answers = Map.of();

    Forecasting(Planner planner, Latest<MergedView> views) {
        this.planner = planner;
        this.views = views;
    }

    boolean step() {
        MergedView view = views.take();
        if (view == null) {
            return false;
        }
        answers = planner.forecasts(view.builtMs(), view);
        return true;
    }

    /** The last ones; any thread. */
    Map<String, ForecastAnswer> answers() {
        return answers;
    }
}
