package peppergauge.bodies.ledger;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.invariant.Loads;
import peppergauge.invariant.PlantedSource;

/** The ledger of bodies and the limits of flows under random load, with faults planted in their sources. */
public class LedgerInvariantsTest {

    private static final int SEEDS = 20;

    @Test
    public void allHoldsWhateverComes() {
        Loads.each("bodies", SEEDS, LedgerLoad::run);
    }

    @DataProvider
    public Object[][] faults() {
        String ledger = "bodies/ledger/Ledger.java";
        return new Object[][] {
            {ledger, "        leaving += entry.inMemory;\n", "", "on the way"},
            {ledger, "        inFiles++;\n", "", "files"},
            {ledger, "        entry.inFile = entry.bytes;\n        files.add(entry.owner, entry.inFile);\n",
                "        entry.inFile = entry.bytes;\n", "files"},
            {ledger, "&& all + more <= bounds.all(tier)", "", "in memory"},
            {ledger, "                entry.inMemory += more;\n", "", "in memory"},
            {ledger, "        entry.full = true;\n        entry.tier = Tier.NONE;", "        entry.tier = Tier.NONE;",
                "within"},
            {ledger, "add(byClass, owner.requestClass(), bytes);", "add(byClass, owner.requestClass(), 1);", "within"},
            {"bodies/limits/Windows.java", "Math.min(each, all / Math.max(1, open))", "each", "flows of"},
            {"bodies/limits/Pace.java", "owedMs += Math.max(0, nowMs - sinceMs);", "owedMs += nowMs - sinceMs;",
                "its own time went back"},
        };
    }

    @Test(dataProvider = "faults")
    public void aPlantedFaultIsFound(String file, String sound, String faulty, String says)
            throws IOException, ReflectiveOperationException {
        new PlantedSource(file, sound, faulty).mustBeFound("peppergauge.bodies.ledger.LedgerLoad", SEEDS, says);
    }
}
