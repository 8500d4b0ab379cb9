package peppergauge.overload;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EventLoopLatencyTest {

    /**
     * For a select at 0 and the end of its round at 10: when the next select returned, the expected earliest arrival,
     * queue delay and stall, in ms.
     */
    @DataProvider
    public Object[][] rounds() {
        return new Object[][] {
            {10.1, 0, 10.1, 0},
            {10.25, 10.25, 0, 0},
            {15, 15, 0, 0},
            {35, 35, 0, 0},
            {35.1, 10, 25.1, 5.1},
            {910, 10, 900, 880},
            {9, 0, 10, 0},
        };
    }

    @Test(dataProvider = "rounds")
    public void estimatesEarliestArrivalDelayAndStall(
            double selectReturnedMs, double earliestArrivalMs, double queueDelayMs, double stalledMs) {
        EventLoopLatency latency = new EventLoopLatency(20, 5);
        latency.onSelectReturned(0);
        latency.onRoundEnded(10, true);
        latency.onSelectReturned(selectReturnedMs);
        assertEquals(latency.earliestArrivalMs(), earliestArrivalMs, 1e-9);
        assertEquals(latency.queueDelayMs(), queueDelayMs, 1e-9);
        assertEquals(latency.stalledMs(), stalledMs, 1e-9);
    }
}
