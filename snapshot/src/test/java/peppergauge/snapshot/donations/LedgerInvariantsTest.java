package peppergauge.snapshot.donations;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.invariant.Loads;
import peppergauge.invariant.PlantedSource;

/** The ledger of donations under random load, with assertions on, and with faults planted in its sources. */
public class LedgerInvariantsTest {

    private static final int SEEDS = 10;

    @Test
    public void allHoldsWhateverIsTold() {
        Loads.each("donations", SEEDS, LedgerLoad::run);
        Loads.each("donations' journal", SEEDS, JournalLoad::run);
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
            {"snapshot/donations/DonationJournal.java", "queue.add(new Waiting(new Entry(Entry.Kind.SENT, id, "
                + "wallMs.getAsLong()), written));", "write(List.of(new Waiting(new Entry(Entry.Kind.SENT, id, "
                + "wallMs.getAsLong()), written)));", "the writer's alone"},
            {"snapshot/donations/DonationJournal.java", "map(Waiting::written).filter",
                "map(Waiting::written).limit(0).filter",
                "may be sent"},
        };
    }

    @Test(dataProvider = "faults")
    public void aPlantedFaultIsFound(String file, String sound, String faulty, String says)
            throws IOException, ReflectiveOperationException {
        String load = file.endsWith("DonationJournal.java") ? "JournalLoad" : "LedgerLoad";
        new PlantedSource(file, sound, faulty).mustBeFound("peppergauge.snapshot.donations." + load, SEEDS, says);
    }
}
