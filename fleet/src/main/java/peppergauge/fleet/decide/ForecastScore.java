package peppergauge.fleet.decide;

import java.util.List;
import java.util.Map;

/**
 * How forecasts fared in all.
 *
 * @param scored held against what followed, soon and steady each for itself
 * @param unscored the others by why not
 * @param last outcomes, the newest last
 */
public record ForecastScore(long scored, Map<String, Long> unscored, List<ForecastOutcome> last) {

    public static final ForecastScore NONE = new ForecastScore(0, Map.of(), List.of());

    public ForecastScore {
        unscored = Map.copyOf(unscored);
        last = List.copyOf(last);
    }
}
