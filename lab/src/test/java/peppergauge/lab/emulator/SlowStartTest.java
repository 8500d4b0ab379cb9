package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.emulator.ColdServerBudgetRecorder.RequestWindow;
import peppergauge.lab.emulator.SlowStartTrial.ColdStartLimits;
import peppergauge.lab.emulator.SlowStartTrial.Run;
import peppergauge.lab.emulator.SlowStartTrial.SidecarFleet;

/** Small version of the trials of {@link SlowStartTrial}; docs/FLEET.md has the results of 200 seeds. */
public class SlowStartTest {

    private static final int SEEDS = 10;
    /** Minimum number of seeds on which sidecars without a ramp must exceed the budget; 4 and 5 seeds do. */
    private static final int MIN_SEEDS_OVER_BUDGET = 3;

    @DataProvider
    public Object[][] trials() {
        List<Object[]> trials = new ArrayList<>();
        for (ColdStartLimits limits : ColdStartLimits.values()) {
            SlowStartTrial.FLEETS.forEach(fleet -> trials.add(new Object[] {limits, fleet}));
        }
        return trials.toArray(Object[][]::new);
    }

    @Test(dataProvider = "trials")
    public void sidecarsTogetherStayWithinBudgetOfColdServer(ColdStartLimits limits, SidecarFleet fleet) {
        for (Run run : SlowStartTrial.runs(SlowStartTrial.scenario(fleet, limits), SEEDS)) {
            assertEquals(run.result().broken().toString(), "[]");
            assertTrue(run.attempts().count() > 0, "attempts at cold servers");
            List<RequestWindow> over = run.windows(ColdServerBudgetRecorder::worst)
                    .filter(window -> window.excess() > 0)
                    .toList();
            assertEquals(over.toString(), "[]", "seed " + run.seed());
        }
    }

    @DataProvider
    public Object[][] manySidecars() {
        return new Object[][] {{new SidecarFleet(30, 0.6)}, {new SidecarFleet(100, 0.6)}};
    }

    /** Sidecars that treat every server as warm exceed the budget although they know of its start. */
    @Test(dataProvider = "manySidecars")
    public void detectsSidecarsWithoutRampExceedingBudget(SidecarFleet fleet) {
        List<Double> excess = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            Run run = SlowStartTrial.run(
                    SlowStartTrial.scenario(fleet, ColdStartLimits.TIGHT), seed, LoadBalancerFault.NO_COLD_BUDGET);
            excess.add(run.windows(ColdServerBudgetRecorder::worstInformed)
                    .mapToDouble(RequestWindow::excess)
                    .max()
                    .orElseThrow());
        }
        assertTrue(excess.stream().filter(each -> each > 0).count() >= MIN_SEEDS_OVER_BUDGET, excess.toString());
    }

    @DataProvider
    public Object[][] budgets() {
        return new Object[][] {{4, 13}, {25, 43}, {36, 50}, {100, 122}};
    }

    @Test(dataProvider = "budgets")
    public void smallBudgetHasMoreTolerance(double allowed, double budget) {
        assertEquals(ColdServerBudgetRecorder.budget(allowed), budget);
    }
}
