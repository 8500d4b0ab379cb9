package peppergauge.overload;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EventLoopLatencyTest {

    /** After a select at 0 and the end of the round at 10: select returned, earliest arrival, queue delay, stalled; ms. */
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
    public void arrivalIsTheEarliestThatTheRoundsAllow(double returned, double earliest, double delay, double stalled) {
        EventLoopLatency latency = new EventLoopLatency(20, 5);
        latency.onSelectReturned(0);
        latency.onRoundEnded(10, true);
        latency.onSelectReturned(returned);
        assertEquals(latency.earliestArrivalMs(), earliest, 1e-9);
        assertEquals(latency.queueDelayMs(), delay, 1e-9);
        assertEquals(latency.stalledMs(), stalled, 1e-9);
    }
}
