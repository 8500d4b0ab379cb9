package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.result.RunResult.Broken;
import peppergauge.lab.scenario.Scenario;

/**
 * Each rule check finds its planted fault. {@link BundledScenariosTest} tests that the scenarios violate no rule
 * without a fault.
 */
public class PlantedFaultsTest {

    private static final int SEEDS = 200;

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {Faults.NO_DONATION_GUARD, "lost-answers", "twice"},
            {Faults.NO_DRAIN_CHECK, "drain", "drain"},
            {Faults.NO_DEADLINE_TIMER, "zone-loss", "answer"},
            {Faults.TWO_ATTEMPTS, "calm", "one-attempt"},
            {Faults.NO_COLD_BUDGET, "cold-crush", "cold"},
            {Faults.DENIES_WHAT_RAN, "lost-answers", "twice"},
            {Faults.THROWS, "crush", "bug"},
        };
    }

    @Test(dataProvider = "faults")
    public void aPlantedFaultIsFoundWithinTwoHundredSeeds(Faults fault, String name, String rule) {
        Scenario scenario = Stock.scenario(name);
        for (int seed = 1; seed <= SEEDS; seed++) {
            List<Broken> broken =
                    Emulator.run(name, scenario.seeded(seed), fault).broken();
            if (!broken.isEmpty()) {
                assertEquals(
                        broken.get(0).rule(),
                        rule,
                        "seed " + seed + ": " + broken.get(0).about());
                assertFalse(broken.get(0).trace().isEmpty());
                return;
            }
        }
        throw new AssertionError(fault + " was not found in " + SEEDS + " seeds of " + name);
    }

    @Test
    public void aFailingScenarioIsCutDownToOneThatFailsByTheSameRule() {
        List<String> steps = new ArrayList<>();
        Scenario whole = Stock.scenario("drain").seeded(3);
        Scenario small =
                Shrinker.shrink(whole, Faults.NO_DRAIN_CHECK, steps::add).orElseThrow();
        assertEquals(
                Emulator.run("small", small, Faults.NO_DRAIN_CHECK)
                        .broken()
                        .get(0)
                        .rule(),
                "drain");
        assertEquals(small.entries().size(), 1, steps.toString());
        assertTrue(small.run().length().compareTo(whole.run().length()) < 0, steps.toString());
        assertTrue(small.servers().stream().mapToLong(kind -> kind.count()).sum() < 13, steps.toString());
        assertFalse(steps.isEmpty());
        assertTrue(
                Shrinker.shrink(StockTest.shortened("calm", 2_000), steps::add).isEmpty());
    }
}
