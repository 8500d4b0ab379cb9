package peppergauge.fleet.planner;

import java.util.List;
import java.util.Map;

/**
 * Score of past forecasts. Stored and sent as JSON under these names.
 *
 * @param scored number of forecasts compared with observations, soon and steady each
 * @param unscored number of changes and forecasts that were not scored, by reason
 * @param last newest outcomes, the newest last
 */
public record ForecastScore(long scored, Map<String, Long> unscored, List<ForecastOutcome> last) {

    /** Score before the first forecast. */
    public static final ForecastScore NONE = new ForecastScore(0, Map.of(), List.of());

    public ForecastScore {
        unscored = Map.copyOf(unscored);
        last = List.copyOf(last);
    }
}
