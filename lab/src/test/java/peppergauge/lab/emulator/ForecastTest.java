package peppergauge.lab.emulator;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Small version of the sweep of {@link ForecastTrial}; docs/FORECAST.md has the results of 200 workloads. */
public class ForecastTest {

    private final List<ForecastTrial> trials = LongStream.of(1, 9, 11, 39, 41)
            .mapToObj(seed -> new ForecastTrial(CacheWorkload.draw(seed, false)))
            .toList();

    @Test
    public void forecastErrorsAreWithinTargets() {
        double steady = trials.stream()
                .mapToDouble(trial -> Math.abs(trial.forecast().steady().fleet().mean() - trial.steady()))
                .average()
                .orElseThrow();
        double soon = trials.stream()
                .mapToDouble(trial -> Math.abs(trial.forecast().soon().fleet().mean() - trial.soon()))
                .average()
                .orElseThrow();
        assertTrue(steady <= 0.03 && soon <= 0.05, steady + " " + soon);
    }

    @Test
    public void forecastCoversChangesThatPastHitRatesDoNotShow() {
        double plain = trials.stream()
                .mapToDouble(trial -> Math.abs(trial.before() - trial.steady()))
                .average()
                .orElseThrow();
        assertTrue(plain > 0.06, "error of the hit rate before the change: " + plain);
        assertTrue(trials.stream()
                .allMatch(trial -> trial.forecast().soon().servers().values().stream()
                        .allMatch(rate -> rate.low() <= rate.mean() && rate.mean() <= rate.high())));
    }
}
