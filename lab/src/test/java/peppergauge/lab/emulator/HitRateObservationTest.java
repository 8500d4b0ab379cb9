package peppergauge.lab.emulator;

import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Small version of the sweep of {@link SeenTrial} with queueing; docs/FORECAST.md has the results of 42 workloads. */
public class HitRateObservationTest {

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{51}, {98}};
    }

    @Test(dataProvider = "seeds")
    public void estimatesHitRatesFromResponseTimesWithinReportedError(int seed) {
        SeenTrial trial = new SeenTrial(SeenTrial.workload(seed), 0.7);
        for (int i = 0; i < SeenTrial.WINDOWS.length; i++) {
            if (trial.seen[i].isKnown()) {
                assertTrue(
                        Math.abs(trial.seen[i].rate() - trial.truth[i]) < 2.5 * trial.seen[i].error(),
                        trial.seen[i] + " " + trial.truth[i]);
            }
        }
        assertTrue(trial.seen[0].error() < 0.05 && trial.seen[2].error() < 0.05, Arrays.toString(trial.seen));
    }
}
