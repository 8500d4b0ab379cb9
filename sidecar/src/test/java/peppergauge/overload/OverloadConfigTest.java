package peppergauge.overload;

import static org.testng.Assert.assertThrows;

import java.util.List;
import org.testng.annotations.Test;

public class OverloadConfigTest {

    @Test
    public void rejectsValuesOutOfRange() {
        for (double[] each : new double[][] {{-1, 1_200, 20}, {1, Double.POSITIVE_INFINITY, 20}, {1, 1_200, 0}}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> new OverloadController<String, String>(
                            OverloadConfig.of(List.of(each[0]), 1, true, each[1], each[2], 1)));
        }
    }
}
