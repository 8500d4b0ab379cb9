package peppergauge.decision;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;
import peppergauge.decision.LearnedState.WeightedSum;

public class DecayingAverageTest {

    private static final double EXACT = 1e-12;

    @Test
    public void sumAndWeightHalveEveryHalfLifeAndMeanStays() {
        DecayingAverage average = new DecayingAverage(1_000);
        average.add(0, 4);
        assertEquals(average.sum(1_000), 2, EXACT);
        assertEquals(average.weight(2_000), 0.25, EXACT);
        assertEquals(average.mean(2_000), 4, EXACT);
    }

    @Test
    public void meanWithoutSamplesIsZero() {
        assertEquals(new DecayingAverage(1_000).mean(5), 0.0);
    }

    @Test
    public void peekDoesNotUpdateAverage() {
        DecayingAverage peeked = new DecayingAverage(1_000);
        DecayingAverage other = new DecayingAverage(1_000);
        peeked.add(0, 4);
        other.add(0, 4);
        assertEquals(peeked.peek(333), new WeightedSum(other.sum(333), other.weight(333)));
        other.restore(0, 4, 1);
        assertEquals(peeked.sum(777), other.sum(777));
        assertEquals(new DecayingAverage(1_000).peek(5), WeightedSum.NONE);
    }

    @Test
    public void rateIsCorrectWithinFirstHalfLife() {
        DecayingAverage average = new DecayingAverage(1_000);
        for (int ms = 0; ms <= 500; ms += 10) {
            average.add(ms, 1);
        }
        assertEquals(average.ratePerMs(500, 0, 1), 0.1, 0.01);
        assertEquals(average.ratePerMs(500, Double.NaN, 1), 0.0);
    }
}
