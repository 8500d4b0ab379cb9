package peppergauge.fleet.planning;

import java.util.List;
import java.util.Map;
import peppergauge.fleet.planner.ForecastOutcome;
import peppergauge.forecast.accuracy.ForecastAccuracy;

/**
 * Scores of forecasts, as stored.
 *
 * @param forecaster version of the forecaster that made them; scores of another version are not used
 * @param record state of trust; its outcomes are the newest of {@code last}
 * @param scored number of scored forecasts
 * @param unscored number of changes and forecasts that were not scored, by reason
 * @param last newest outcomes, the newest last
 */
record PersistedScores(
        int forecaster,
        ForecastAccuracy.PersistedAccuracy record,
        long scored,
        Map<String, Long> unscored,
        List<ForecastOutcome> last) {

    /** Version of the forecaster; to be raised when outcomes of the former version do not apply to the new one. */
    static final int FORECASTER_VERSION = 1;
    /** Age after which outcomes are dropped; changes can be weeks apart. */
    static final long RETENTION_MS = 30L * 86_400_000;

    PersistedScores {
        if (forecaster != FORECASTER_VERSION) {
            throw new IllegalArgumentException(
                    "expected scores of forecaster " + FORECASTER_VERSION + ", got " + forecaster);
        }
        if (record == null
                || record.last().size() > last.size()
                || last.size() > ForecastScorer.MAX_OUTCOMES
                || scored < last.size()
                || unscored.values().stream().anyMatch(count -> count < 0)) {
            throw new IllegalArgumentException("scores lack the record of trust or have inconsistent counts: " + scored
                    + " scored, " + last.size() + " outcomes, unscored " + unscored);
        }
        unscored = Map.copyOf(unscored);
        last = List.copyOf(last);
    }

    /** Returns how many of the newest outcomes are within the retention time. */
    int countRecent(long nowMs) {
        int recent = 0;
        while (recent < last.size()
                && Math.abs(nowMs - last.get(last.size() - 1 - recent).beganMs()) <= RETENTION_MS) {
            recent++;
        }
        return recent;
    }
}
