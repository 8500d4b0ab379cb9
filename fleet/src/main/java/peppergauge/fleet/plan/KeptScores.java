package peppergauge.fleet.plan;

import java.util.List;
import java.util.Map;
import peppergauge.fleet.decide.ForecastOutcome;
import peppergauge.forecast.trust.TrackRecord;

/**
 * How forecasts fared, as kept over a restart.
 *
 * @param forecaster whose outcomes they are: those of another say nothing of this one
 * @param record what trust hangs on; its outcomes are the newest of the last
 * @param scored in all
 * @param unscored in all, by why not
 * @param last outcomes, the newest last
 */
record KeptScores(
        int forecaster, TrackRecord.Kept record, long scored, Map<String, Long> unscored, List<ForecastOutcome> last) {

    /** To be raised with each change of the forecaster by which old outcomes are no evidence any more. */
    static final int FORECASTER = 1;
    /** What is older, or as far ahead of the clock, tells of another fleet. Changes can be weeks apart. */
    static final long KEEP_MS = 30L * 86_400_000;

    KeptScores {
        if (forecaster != FORECASTER) {
            throw new IllegalArgumentException("scores of forecaster " + forecaster + ", not " + FORECASTER);
        }
        if (record == null
                || record.last().size() > last.size()
                || last.size() > Scores.LAST
                || scored < last.size()
                || unscored.values().stream().anyMatch(count -> count < 0)) {
            throw new IllegalArgumentException("no scores");
        }
        unscored = Map.copyOf(unscored);
        last = List.copyOf(last);
    }

    /** Outcomes of the last that are not too old, from the newest on. */
    int fresh(long nowMs) {
        int fresh = 0;
        while (fresh < last.size()
                && Math.abs(nowMs - last.get(last.size() - 1 - fresh).beganMs()) <= KEEP_MS) {
            fresh++;
        }
        return fresh;
    }
}
