package peppergauge.overload;

import static org.testng.Assert.assertTrue;

import java.util.stream.DoubleStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RetryAfterTest {

    /** The longest delay, the rejected share, the remaining time; then the least and the longest delay; ms. */
    @DataProvider
    public Object[][] advice() {
        return new Object[][] {
            {0, 1, 9_000, 0, 0}, {1_200, 0, 9_000, 30, 60}, {1_200, 0.125, 9_000, 300, 600},
            {1_200, 0.25, 9_000, 600, 1_200}, {1_200, 0.98, 9_000, 600, 1_200}, {1_200, 0.98, 700, 600, 700},
            {1_200, 0.98, 599, 0, 0}, {1_200, 0, -5, 0, 0},
        };
    }

    @Test(dataProvider = "advice")
    public void delaysAreSpreadAndGrowWithTheRejectedShare(
            double longest, double rejectedShare, double remainingMs, double least, double most) {
        RetryAfter retryAfter = new RetryAfter(longest, 7);
        var delays = DoubleStream.generate(() -> retryAfter.delayMs(rejectedShare, remainingMs))
                .limit(1_000)
                .summaryStatistics();
        assertTrue(delays.getMin() >= least && delays.getMax() <= most, delays.toString());
        assertTrue(delays.getMax() - delays.getMin() >= 0.9 * (most - least), delays.toString());
    }
}
