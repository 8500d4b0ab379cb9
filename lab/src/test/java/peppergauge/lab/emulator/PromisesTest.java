package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.emulator.PromisesByHand.IncidentCase;
import peppergauge.lab.emulator.PromisesByHand.RunOutcome;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ZoneWeightPolicy.Policy;

/** Zone weights under a few randomly drawn incidents; docs/PROMISES.md has the results of many. */
public class PromisesTest {

    private final Scenario stock = BundledScenarios.scenario("promises");

    @DataProvider
    public Object[][] incidentCases() {
        return new Object[][] {{IncidentCase.SLOW, 1}, {IncidentCase.CLASS_SLOW, 3}};
    }

    @Test(dataProvider = "incidentCases")
    public void zoneWeightsReducePenalty(IncidentCase incidentCase, int seed) {
        RunOutcome unsteered = PromisesByHand.run(stock, incidentCase, Policy.NONE, seed);
        RunOutcome steered = PromisesByHand.run(stock, incidentCase, Policy.STEERING, seed);
        assertTrue(unsteered.objectiveTotals().penalty() > 0, "a penalty without zone weights");
        assertTrue(
                steered.objectiveTotals().penalty()
                        < unsteered.objectiveTotals().penalty(),
                steered + " against " + unsteered);
        assertTrue(steered.worth() >= unsteered.worth() - 0.005, steered + " against " + unsteered);
    }

    @Test
    public void zoneWeightsDoNotChangeCalmRun() {
        RunOutcome unsteered = PromisesByHand.run(stock, IncidentCase.CALM, Policy.NONE, 1);
        RunOutcome steered = PromisesByHand.run(stock, IncidentCase.CALM, Policy.STEERING, 1);
        assertEquals(steered, unsteered);
    }

    @Test
    public void readsBackContractsAndRejectsUnknownTenant() {
        String text = stock.toToml();
        assertEquals(
                Scenario.read(
                        OperatorFileKinds.all().read("p.toml", text).values().orElseThrow()),
                stock);
        String problems = OperatorFileKinds.all()
                .read("p.toml", text.replace("station = \"harbour\"", "station = \"harbor\""))
                .problems()
                .toString();
        assertTrue(
                problems.contains("promise.station: names what this scenario does not have; there is city-fm, "
                        + "harbour, hill-radio"),
                problems);
    }
}
