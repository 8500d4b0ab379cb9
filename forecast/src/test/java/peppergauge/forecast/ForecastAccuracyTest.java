package peppergauge.forecast;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.forecast.accuracy.ForecastAccuracy;
import peppergauge.forecast.hitrate.HitRate;

/** Tests the effect of the observation's standard error; {@code AccuracyLoad} tests the rule of trust itself. */
public class ForecastAccuracyTest {

    private static final HitRate FORECAST = new HitRate(0.5, 0.45, 0.55);

    @DataProvider
    public Object[][] errors() {
        // Standard error, whether the forecast holds, whether forecasts are still trusted. The observed rate is 0.58,
        // the forecast interval 0.45 to 0.55, and the baseline 0.6.
        return new Object[][] {{0.0, false, false}, {0.03, false, false}, {0.045, true, false}, {0.06, true, true}};
    }

    /** Noise of the observation alone must not end trust: its error widens both the interval and the tolerance. */
    @Test(dataProvider = "errors")
    public void standardErrorOfObservationWidensIntervalAndTolerance(double error, boolean held, boolean trusted) {
        ForecastAccuracy accuracy = new ForecastAccuracy();
        for (int i = 0; i < 6; i++) {
            assertEquals(accuracy.record(FORECAST, 0.6, 0.58, error), held);
        }
        assertEquals(accuracy.isTrusted(), trusted);
    }
}
