package peppergauge.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What the decisions do together, where overload feeds itself by clients that ask again. */
public class OverloadSimulationTest {

    /** The last two have a part of a core; in the second, a program left alone does not recover within a minute. */
    @DataProvider
    public Object[][] settings() {
        return new Object[][] {
            {new OverloadSimulation.Setting(400, 300, 1_200, 1)},
            {new OverloadSimulation.Setting(300, 700, 3_000, 1)},
            {new OverloadSimulation.Setting(400, 400, 1_200, 0.5)},
            {new OverloadSimulation.Setting(400, 400, 1_200, 0.25)},
        };
    }

    @Test(dataProvider = "settings")
    public void threeTimesTheCapacityIsServedAtSevenTenthsAndOverInTwoSeconds(OverloadSimulation.Setting setting) {
        for (int seed = 1; seed <= 20; seed++) {
            OverloadSimulation run = new OverloadSimulation(setting, true, seed).run(13);
            double goodput = run.goodput(2, 7);
            assertTrue(goodput > 0.7, "seed " + seed + " goodput " + goodput);
            assertEquals(
                    OverloadSimulation.sum(run.denied, 0, 2) + OverloadSimulation.sum(run.denied, 9, 13),
                    0,
                    "seed " + seed);
            assertTrue(run.goodOf[2] > 1.5 * run.goodOf[1], "worth 10: " + run.goodOf[2] + ", 1: " + run.goodOf[1]);
        }
    }

    /** Guards against a simulation that would pass without the decisions. */
    @Test(dataProvider = "settings")
    public void withoutThemTheSameStaysCollapsed(OverloadSimulation.Setting setting) {
        OverloadSimulation run = new OverloadSimulation(setting, false, 1).run(13);
        assertTrue(run.goodput(0, 2) > 0.6, "before: " + run.goodput(0, 2));
        assertTrue(run.goodput(2, 7) < 0.2, "during: " + run.goodput(2, 7));
        assertTrue(run.goodput(7, 13) < 0.05, "after: " + run.goodput(7, 13));
    }
}
