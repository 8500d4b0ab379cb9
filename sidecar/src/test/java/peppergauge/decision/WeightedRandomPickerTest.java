package peppergauge.decision;

import static org.testng.Assert.assertEquals;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class WeightedRandomPickerTest {

    private final WeightedRandomPicker picker = new WeightedRandomPicker(new SplittableRandom(5));

    @Test
    public void picksIndicesInProportionToWeights() {
        int[] drawn = new int[4];
        Fixtures.repeat(10_000, i -> drawn[picker.pick(new double[] {0, 1, 3, 9}, 3)]++);
        assertEquals(drawn[0], 0);
        assertEquals(drawn[1], 2_500, 200.0);
        assertEquals(drawn[2], 7_500, 200.0);
        assertEquals(drawn[3], 0, "expected no index beyond the count");
    }

    @Test
    public void picksNothingIfAllWeightsAreZero() {
        assertEquals(picker.pick(new double[] {0, 0}, 2), -1);
        assertEquals(picker.pick(new double[] {}, 0), -1);
    }
}
