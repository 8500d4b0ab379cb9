package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.emulator.RestartGain.SnapshotVariant;
import peppergauge.lab.scenario.Scenario;

/** Runs a few of the 200 pairs of runs in docs/SNAPSHOTS.md. */
public class RestartGainTest {

    private static final int SEEDS = 8;

    private final Scenario base = BundledScenarios.scenario("calm");

    @DataProvider
    public Object[][] wrong() {
        return new Object[][] {
            {"healed", SnapshotVariant.SECOND},
            {"errors", SnapshotVariant.SHUFFLED},
            {"vanished", SnapshotVariant.ALL_BAD},
            {"calm", SnapshotVariant.TOO_SLOW},
            {"calm", SnapshotVariant.TOO_FAST}
        };
    }

    @Test(dataProvider = "wrong")
    public void misleadingSnapshotCostsUnderOnePercent(String script, SnapshotVariant variant) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(2);
        RestartGain.Gain gain = RestartGain.gain(base, script, 1, variant, SEEDS, pool);
        pool.shutdown();
        assertTrue(gain.mean() > -0.01 - 2 * gain.error(), gain.toString());
    }

    @Test
    public void hourOldSnapshotIsIgnored() {
        assertEquals(
                RestartGain.service(base, "errors", 1, SnapshotVariant.HOUR, 1),
                RestartGain.service(base, "errors", 1, SnapshotVariant.NO_SNAPSHOT, 1));
    }
}
