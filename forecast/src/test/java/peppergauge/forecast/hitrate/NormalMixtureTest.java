package peppergauge.forecast.hitrate;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class NormalMixtureTest {

    @Test
    public void intervalOfOneComponentIsItsOwn() {
        HitRate rate = NormalMixture.hitRate(new double[] {1}, new double[] {0.5}, new double[] {0.1});
        assertEquals(rate.mean(), 0.5, 1e-9);
        assertEquals(rate.low(), 0.5 - 1.645 * 0.1, 1e-3);
        assertEquals(rate.high(), 0.5 + 1.645 * 0.1, 1e-3);
    }

    @Test
    public void intervalSpansAllLikelyComponentsWithinZeroAndOne() {
        HitRate rate =
                NormalMixture.hitRate(new double[] {0.5, 0.5}, new double[] {0.2, 0.95}, new double[] {0.01, 0.1});
        assertEquals(rate.mean(), 0.575, 1e-9);
        assertEquals(rate.low(), 0.187, 1e-2);
        assertEquals(rate.high(), 1, 0);
    }
}
