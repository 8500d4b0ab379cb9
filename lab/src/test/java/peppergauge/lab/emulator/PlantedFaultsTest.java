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
            {LoadBalancerFault.NO_IDEMPOTENCY_GUARD, "lost-answers", "twice"},
            {LoadBalancerFault.NO_DRAIN_CHECK, "drain", "drain"},
            {LoadBalancerFault.NO_DEADLINE_TIMER, "zone-loss", "answer"},
            {LoadBalancerFault.TWO_CONCURRENT_ATTEMPTS, "calm", "one-attempt"},
            {LoadBalancerFault.NO_COLD_BUDGET, "cold-crush", "cold"},
            {LoadBalancerFault.REJECTS_EXECUTED_REQUESTS, "lost-answers", "twice"},
            {LoadBalancerFault.THROWS_ON_REJECTION, "crush", "bug"},
        };
    }

    @Test(dataProvider = "faults")
    public void findsPlantedFaultWithinTwoHundredSeeds(LoadBalancerFault fault, String name, String rule) {
        Scenario scenario = BundledScenarios.scenario(name);
        for (int seed = 1; seed <= SEEDS; seed++) {
            List<Broken> broken =
                    Emulator.run(name, scenario.withSeed(seed), fault).broken();
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
    public void shrinksFailingScenarioToOneViolatingTheSameRule() {
        List<String> steps = new ArrayList<>();
        Scenario whole = BundledScenarios.scenario("drain").withSeed(3);
        Scenario small = Shrinker.shrink(whole, LoadBalancerFault.NO_DRAIN_CHECK, steps::add)
                .orElseThrow();
        assertEquals(
                Emulator.run("small", small, LoadBalancerFault.NO_DRAIN_CHECK)
                        .broken()
                        .get(0)
                        .rule(),
                "drain");
        assertEquals(small.entries().size(), 1, steps.toString());
        assertTrue(small.run().length().compareTo(whole.run().length()) < 0, steps.toString());
        assertTrue(small.servers().stream().mapToLong(kind -> kind.count()).sum() < 13, steps.toString());
        assertFalse(steps.isEmpty());
        assertTrue(Shrinker.shrink(BundledScenariosTest.shortened("calm", 2_000), steps::add)
                .isEmpty());
    }
}
