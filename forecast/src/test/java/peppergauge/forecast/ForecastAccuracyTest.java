package peppergauge.forecast;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.forecast.accuracy.ForecastAccuracy;
import peppergauge.forecast.hitrate.HitRate;

/** What an error of what was seen changes; the rule itself is held against all rows in the trust's random load. */
public class ForecastAccuracyTest {

    private static final HitRate SAID = new HitRate(0.5, 0.45, 0.55);

    @DataProvider
    public Object[][] errors() {
        // Seen at 0.58, where 0.45 to 0.55 and, by who says that nothing changes, 0.6 was said.
        return new Object[][] {{0.0, false, false}, {0.03, false, false}, {0.045, true, false}, {0.06, true, true}};
    }

    /** By an estimate's noise alone none loses its say: the interval is wider by it, and so is what counts as worse. */
    @Test(dataProvider = "errors")
    public void anErrorOfWhatWasSeenIsAllowedFor(double error, boolean held, boolean trusted) {
        ForecastAccuracy record = new ForecastAccuracy();
        for (int i = 0; i < 6; i++) {
            assertEquals(record.record(SAID, 0.6, 0.58, error), held);
        }
        assertEquals(record.isTrusted(), trusted);
    }
}
