package peppergauge.snapshot.donations;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.invariant.PlantedSource;

/** The ledger of donations under random load, with assertions on, and with faults planted in its sources. */
public class LedgerInvariantsTest {

    private static final int SEEDS = Integer.getInteger("invariant.seeds", 10);

    @Test
    public void allHoldsWhateverIsTold() throws IOException {
        long startedNs = System.nanoTime();
        for (long seed = 1; seed <= SEEDS; seed++) {
            LedgerLoad.run(seed);
        }
        System.out.printf("donations: %d seeds, %.1f s%n", SEEDS, (System.nanoTime() - startedNs) / 1e9);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"snapshot/donations/Ledger.java", "entry.kind() != Entry.Kind.NEVER_RAN) {", "entry.kind() != null) {",
                "not as told"},
            {"snapshot/donations/Ledger.java", "(left -= all.get(i).size()) >= 0", "left >= 0", "more than fits"},
            {"snapshot/donations/Ledger.java", "all.get(i).kind() == kind && ", "", "an id is kept twice"},
            {"snapshot/donations/JournalFile.java", "length + bytes > most", "length > most", "past its bound"},
            {"snapshot/donations/JournalFile.java", "        length += bytes;\n", "", "torn"},
        };
    }

    @Test(dataProvider = "faults")
    public void aPlantedFaultIsFound(String file, String sound, String faulty, String says)
            throws IOException, ReflectiveOperationException {
        new PlantedSource(file, sound, faulty).mustBeFound("peppergauge.snapshot.donations.LedgerLoad", SEEDS, says);
    }
}
