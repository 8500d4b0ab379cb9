package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class ArrivalRateTest {

    @Test
    public void steadyRateEqualsRateOfConstantArrivals() {
        ArrivalRate rate = new ArrivalRate();
        assertEquals(rate.steadyPerMs(5), 0.0);
        Fixtures.repeat(1_000, i -> rate.record(10.0 * i));
        assertEquals(rate.steadyPerMs(10_000), 0.1, 0.005);
    }

    @Test
    public void peakRateFollowsBurstWithinOneSecond() {
        ArrivalRate rate = new ArrivalRate();
        Fixtures.repeat(1_000, i -> rate.record(10.0 * i));
        Fixtures.repeat(1_000, i -> rate.record(10_000.0 + i));
        assertTrue(rate.peakPerMs(11_000) > 2 * rate.steadyPerMs(11_000));
    }

    @Test
    public void firstRequestsGiveNoHighRate() {
        ArrivalRate rate = new ArrivalRate();
        rate.record(0);
        rate.record(1);
        assertTrue(rate.peakPerMs(1) < 0.01, "expected a rate under 0.01 per ms but was " + rate.peakPerMs(1));
    }
}
