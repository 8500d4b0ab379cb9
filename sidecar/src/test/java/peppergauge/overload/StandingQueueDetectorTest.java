package peppergauge.overload;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StandingQueueDetectorTest {

    /** Samples for a target of 15 ms and an interval of 100 ms, as pairs of time and delay. */
    @DataProvider
    public Object[][] delays() {
        return new Object[][] {
            {"a burst", false, new double[] {0, 0, 10, 80, 50, 60, 90, 30, 120, 0}},
            {"above the target for less than an interval", false, new double[] {0, 20, 40, 20, 99, 20}},
            {"above the target for an interval", true, new double[] {0, 20, 40, 20, 80, 20, 100, 20}},
            {"one low sample in between", false, new double[] {0, 20, 50, 20, 70, 15, 100, 20, 150, 20}},
            {"a pause and one round to catch up", false, new double[] {0, 20, 900, 900}},
            {"a queue that persists after a pause", true, new double[] {0, 20, 900, 900, 950, 900}},
        };
    }

    @Test(dataProvider = "delays")
    public void detectsStandingQueueIfAboveTargetForInterval(String which, boolean isStanding, double[] samples) {
        StandingQueueDetector detector = new StandingQueueDetector(15, 100);
        for (int i = 0; i < samples.length; i += 2) {
            detector.recordDelay(samples[i], samples[i + 1]);
        }
        assertEquals(detector.isStanding(), isStanding, which);
    }
}
