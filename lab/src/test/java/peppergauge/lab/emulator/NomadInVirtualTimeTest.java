package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.lab.nomad.ApiFault;
import peppergauge.lab.scenario.Discovery.Source;
import peppergauge.lab.scenario.Incident;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;

/** Runs some seeds of the measurements in docs/NOMAD.md; the emulator checks the rules in each run. */
public class NomadInVirtualTimeTest {

    private static final int SEEDS = 4;

    private final ExecutorService pool = Executors.newFixedThreadPool(4);

    @AfterClass
    public void end() {
        pool.shutdown();
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {ApiFault.REFUSE},
            {ApiFault.EMPTY},
            {ApiFault.OLDER},
            {ApiFault.UNSURE},
            {ApiFault.INDEX_BACK},
            {ApiFault.HUGE},
            {ApiFault.HALF_LINE},
            {ApiFault.HEARTBEATS_ONLY},
            {ApiFault.TRICKLE}
        };
    }

    @Test(dataProvider = "faults")
    public void faultDuringDeployCostsLittleAndViolatesNoRule(ApiFault fault) throws Exception {
        double healthy =
                NomadLoss.mean(NomadLoss.services(NomadLoss.scenario(Source.NOMAD, Optional.empty()), SEEDS, pool));
        double wrong = NomadLoss.mean(NomadLoss.services(
                NomadLoss.scenario(Source.NOMAD, Optional.of(NomadLoss.entry(Incident.DISCOVERY_FAULT, fault, 0))),
                SEEDS,
                pool));
        assertTrue(wrong > healthy - 0.06, fault + ": " + wrong + " against " + healthy);
    }

    /** The platform's watch accepts an empty list immediately, whereas membership does not. */
    @Test
    public void emptyListCostsPlatformWatchFarMoreThanNomad() throws Exception {
        Optional<ScheduledIncident> empty = Optional.of(NomadLoss.entry(Incident.DISCOVERY_EMPTY, null, 0));
        double watch = NomadLoss.mean(NomadLoss.services(NomadLoss.scenario(Source.PLATFORM, empty), SEEDS, pool));
        double nomad = NomadLoss.mean(NomadLoss.services(NomadLoss.scenario(Source.NOMAD, empty), SEEDS, pool));
        assertTrue(nomad > watch + 0.15, nomad + " against " + watch);
    }

    @Test
    public void digestDependsOnScenarioAndSeedOnly() {
        Scenario scenario = BundledScenariosTest.shortened("nomad-wrong", 20_000);
        assertEquals(
                Emulator.run("a", scenario).digest(),
                Emulator.run("b", scenario).digest());
    }

    @Test
    public void nomadFaultRequiresNomadSource() {
        String text = BundledScenarios.scenario("nomad-wrong")
                .toToml()
                .replace("source = \"nomad\"", "source = \"platform\"");
        String problems =
                OperatorFileKinds.all().read("s.toml", text).problems().toString();
        assertTrue(problems.contains("source must be \"nomad\""), problems);
    }
}
