package peppergauge.decision;

import static org.testng.Assert.assertEquals;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class IntegerPowerTest {

    @Test
    public void firstPowersAreExact() {
        for (double value : new double[] {-2.5, 0, 0.3, 1, 7}) {
            assertEquals(IntegerPower.of(value, 0), 1.0);
            assertEquals(IntegerPower.of(value, 1), value);
            assertEquals(IntegerPower.of(value, 2), value * value);
        }
        assertEquals(IntegerPower.of(2, 15), 32_768.0);
    }

    @Test
    public void equalsExactPowerButForRounding() {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 10_000; i++) {
            double value = random.nextDouble();
            for (int exponent : new int[] {3, 15}) {
                double exact = new BigDecimal(value)
                        .pow(exponent, MathContext.DECIMAL128)
                        .doubleValue();
                assertEquals(IntegerPower.of(value, exponent), exact, 20 * Math.ulp(exact), value + "^" + exponent);
            }
        }
    }
}
