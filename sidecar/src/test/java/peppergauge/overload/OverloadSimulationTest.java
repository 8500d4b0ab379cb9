package peppergauge.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the combined effect of all decisions while client retries sustain the overload. */
public class OverloadSimulationTest {

    /**
     * The last two settings have a share of a core. With the second one, a program without overload control does not
     * recover within a minute.
     */
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
    public void servesMostOfCapacityAtTripleLoadAndRecoversInTwoSeconds(OverloadSimulation.Setting setting) {
        for (int seed = 1; seed <= 20; seed++) {
            OverloadSimulation run = new OverloadSimulation(setting, true, seed).run(13);
            double goodput = run.goodput(2, 7);
            assertTrue(goodput > 0.7, "seed " + seed + ": expected a goodput over 0.7, was " + goodput);
            assertEquals(
                    OverloadSimulation.sum(run.shed, 0, 2) + OverloadSimulation.sum(run.shed, 9, 13),
                    0,
                    "seed " + seed + ": requests shed before or 2 s after the overload");
            assertTrue(
                    run.servedByClass[2] > 1.5 * run.servedByClass[1],
                    "weight 10: " + run.servedByClass[2] + ", weight 1: " + run.servedByClass[1]);
        }
    }

    /** Guards against a simulation in which a program without overload control passes too. */
    @Test(dataProvider = "settings")
    public void programWithoutOverloadControlDoesNotRecover(OverloadSimulation.Setting setting) {
        OverloadSimulation run = new OverloadSimulation(setting, false, 1).run(13);
        assertTrue(run.goodput(0, 2) > 0.6, "before: " + run.goodput(0, 2));
        assertTrue(run.goodput(2, 7) < 0.2, "during: " + run.goodput(2, 7));
        assertTrue(run.goodput(7, 13) < 0.05, "after: " + run.goodput(7, 13));
    }
}
