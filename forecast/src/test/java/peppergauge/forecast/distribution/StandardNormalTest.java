package peppergauge.forecast.distribution;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.apache.commons.statistics.distribution.NormalDistribution;
import org.testng.annotations.Test;

public class StandardNormalTest {

    private static final NormalDistribution REFERENCE = NormalDistribution.of(0, 1);

    @Test
    public void equalsReferenceInBothTails() {
        for (int i = -38_000; i <= 38_000; i++) {
            double x = i / 1024.0 + 1e-5;
            double expected = REFERENCE.cumulativeProbability(x);
            double found = StandardNormal.cumulativeProbability(x);
            assertEquals(found, expected, 2e-16 + 1e-13 * Math.min(expected, 1 - expected), "at " + x);
        }
    }

    @Test
    public void neverDecreasesNorLeavesItsRange() {
        double before = 0;
        for (int i = -160_000; i <= 160_000; i++) {
            double found = StandardNormal.cumulativeProbability(i / 16_384.0);
            assertTrue(found >= before && found <= 1, before + " and then " + found + " at " + i / 16_384.0);
            before = found;
        }
    }

    @Test
    public void limitsAndMiddle() {
        assertEquals(StandardNormal.cumulativeProbability(0), 0.5, 1e-16);
        assertEquals(StandardNormal.cumulativeProbability(-0.0), 0.5, 1e-16);
        assertEquals(StandardNormal.cumulativeProbability(Double.NEGATIVE_INFINITY), 0.0);
        assertEquals(StandardNormal.cumulativeProbability(Double.POSITIVE_INFINITY), 1.0);
        assertEquals(StandardNormal.cumulativeProbability(-Double.MAX_VALUE), 0.0);
        assertTrue(Double.isNaN(StandardNormal.cumulativeProbability(Double.NaN)));
    }
}
