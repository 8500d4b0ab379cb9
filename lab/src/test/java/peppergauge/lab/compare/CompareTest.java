package peppergauge.lab.compare;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CompareTest {

    @DataProvider
    public Object[][] pairs() {
        return new Object[][] {
            // Student's sleep data set, whose mean difference is 1.58 with the interval 0.70 to 2.46.
            {
                new double[] {0.7, -1.6, -0.2, -1.2, -0.1, 3.4, 3.7, 0.8, 0, 2},
                new double[] {1.9, 0.8, 1.1, 0.1, -0.1, 4.4, 5.5, 1.6, 4.6, 3.4},
                1.58,
                0.7001142,
                2.4598858,
                1
            },
            {new double[] {1, 2}, new double[] {2, 1}, 0, -12.7062047, 12.7062047, 0},
            {new double[] {1, 2}, new double[] {0, 1}, -1, -1, -1, -1},
            {new double[] {1}, new double[] {2}, 1, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, 0},
        };
    }

    @Test(dataProvider = "pairs")
    public void intervalMatchesPairedTTest(double[] a, double[] b, double mean, double low, double high, int sign) {
        Difference difference = Difference.of(a, b);
        assertEquals(difference.mean(), mean, 1e-9);
        assertEquals(difference.low(), low, 1e-6);
        assertEquals(difference.high(), high, 1e-6);
        assertEquals(difference.sign(), sign);
    }

    @Test
    public void rejectsSamplesOfUnequalSizeOrEmpty() {
        assertThrows(IllegalArgumentException.class, () -> Difference.of(new double[1], new double[2]));
        assertThrows(IllegalArgumentException.class, () -> Difference.of(new double[0], new double[0]));
    }

    private static final String TOML =
            "kind = \"scenario\"\n\n[run]\nseed = 1\n\n[[servers]]\nspeed = 1\n\n" + "[[servers]]\nspeed = 2\n";

    @DataProvider
    public Object[][] changes() {
        return new Object[][] {
            {List.of(), TOML},
            {List.of("run.seed=7"), TOML.replace("seed = 1", "seed = 7")},
            {List.of("servers.speed=3"), TOML.replaceAll("speed = .", "speed = 3")},
            {List.of("run.length=5 s"), TOML.replace("[run]\n", "[run]\nlength = \"5 s\"\n")},
        };
    }

    @Test(dataProvider = "changes")
    public void appliesChangeToEachTableOfItsName(List<String> changes, String toml) {
        assertEquals(new Variant("v", Path.of("j"), changes).applyChanges(TOML), toml);
    }

    @Test
    public void rejectsUnknownBuildAndUnknownTable() {
        assertThrows(IllegalArgumentException.class, () -> Variant.parse("nowhere.jar", Path.of(".")));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Variant("v", Path.of("j"), List.of("zz.a=1")).applyChanges(TOML));
    }
}
