package peppergauge.overload;

import static org.testng.Assert.assertTrue;

import java.util.stream.DoubleStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RetryAfterTest {

    /** The maximum delay, the rejected share, the remaining time, and the expected range of delays; in ms. */
    @DataProvider
    public Object[][] advice() {
        return new Object[][] {
            {0, 1, 9_000, 0, 0}, {1_200, 0, 9_000, 30, 60}, {1_200, 0.125, 9_000, 300, 600},
            {1_200, 0.25, 9_000, 600, 1_200}, {1_200, 0.98, 9_000, 600, 1_200}, {1_200, 0.98, 700, 600, 700},
            {1_200, 0.98, 599, 0, 0}, {1_200, 0, -5, 0, 0},
        };
    }

    @Test(dataProvider = "advice")
    public void spreadsDelaysThatGrowWithRejectedShare(
            double maxDelayMs, double rejectedShare, double remainingMs, double earliestMs, double latestMs) {
        RetryAfter retryAfter = new RetryAfter(maxDelayMs, 7);
        var delays = DoubleStream.generate(() -> retryAfter.delayMs(rejectedShare, remainingMs))
                .limit(1_000)
                .summaryStatistics();
        assertTrue(delays.getMin() >= earliestMs && delays.getMax() <= latestMs, delays.toString());
        assertTrue(delays.getMax() - delays.getMin() >= 0.9 * (latestMs - earliestMs), delays.toString());
    }
}
