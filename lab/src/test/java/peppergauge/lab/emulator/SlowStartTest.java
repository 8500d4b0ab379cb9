package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.emulator.MeasuredBudget.Peak;
import peppergauge.lab.emulator.SlowStartTrial.Fleet;
import peppergauge.lab.emulator.SlowStartTrial.Run;
import peppergauge.lab.emulator.SlowStartTrial.Terms;

/** Small version of the trials of {@link SlowStartTrial}; docs/FLEET.md has the results of 200 seeds. */
public class SlowStartTest {

    private static final int SEEDS = 10;
    /** Minimum number of seeds on which sidecars without a ramp must exceed the budget; 4 and 5 seeds do. */
    private static final int LEAST_FOUND = 3;

    @DataProvider
    public Object[][] trials() {
        List<Object[]> trials = new ArrayList<>();
        for (Terms terms : Terms.values()) {
            SlowStartTrial.FLEETS.forEach(fleet -> trials.add(new Object[] {terms, fleet}));
        }
        return trials.toArray(Object[][]::new);
    }

    @Test(dataProvider = "trials")
    public void allSidecarsTogetherStayWithinTheBudgetOfAColdServer(Terms terms, Fleet fleet) {
        for (Run run : SlowStartTrial.runs(SlowStartTrial.scenario(fleet, terms), SEEDS)) {
            assertEquals(run.result().broken().toString(), "[]");
            assertTrue(run.attempts().count() > 0, "no cold server was sent anything");
            List<Peak> over = run.peaks(MeasuredBudget::worst)
                    .filter(peak -> peak.excess() > 0)
                    .toList();
            assertEquals(over.toString(), "[]", "seed " + run.seed());
        }
    }

    @DataProvider
    public Object[][] manySidecars() {
        return new Object[][] {{new Fleet(30, 0.6)}, {new Fleet(100, 0.6)}};
    }

    /** Sidecars that treat every server as warm exceed the budget although they know of its start. */
    @Test(dataProvider = "manySidecars")
    public void sidecarsWithoutARampAreFoundOverTheBudget(Fleet fleet) {
        List<Double> excess = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            Run run = SlowStartTrial.run(SlowStartTrial.scenario(fleet, Terms.TIGHT), seed, Faults.NO_COLD_BUDGET);
            excess.add(run.peaks(MeasuredBudget::worstTold)
                    .mapToDouble(Peak::excess)
                    .max()
                    .orElseThrow());
        }
        assertTrue(excess.stream().filter(each -> each > 0).count() >= LEAST_FOUND, excess.toString());
    }

    @DataProvider
    public Object[][] budgets() {
        return new Object[][] {{4, 13}, {25, 43}, {36, 50}, {100, 122}};
    }

    @Test(dataProvider = "budgets")
    public void aSmallBudgetLeavesMoreToChance(double allowed, double budget) {
        assertEquals(MeasuredBudget.budget(allowed), budget);
    }
}
