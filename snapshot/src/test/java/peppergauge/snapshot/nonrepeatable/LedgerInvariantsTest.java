package peppergauge.snapshot.nonrepeatable;

import org.testng.annotations.DataProvider;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;

/** The ledger of non-repeatable requests under random load, with assertions on, and with faults planted in its sources. */
public class LedgerInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 10;

    public LedgerInvariantsTest() {
        super("snapshot/nonrepeatable/", "peppergauge.snapshot.nonrepeatable.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"ledger", (Loads.Load) LedgerLoad::run, SEEDS}, {"journal", (Loads.Load) JournalLoad::run, SEEDS}
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                "LedgerLoad",
                "Ledger.java",
                "entry.kind() != Entry.Kind.NEVER_RAN) {",
                "entry.kind() != null) {",
                "not as told"
            },
            {"LedgerLoad", "Ledger.java", "(left -= all.get(i).size()) >= 0", "left >= 0", "more than fits"},
            {"LedgerLoad", "Ledger.java", "all.get(i).kind() == kind && ", "", "an id is kept twice"},
            {"LedgerLoad", "JournalFile.java", "length + bytes > most", "length > most", "past its bound"},
            {"LedgerLoad", "JournalFile.java", "        length += bytes;\n", "", "torn"},
            {
                "JournalLoad",
                "NonRepeatableJournal.java",
                "queue.add(new Waiting(new Entry(Entry.Kind.SENT, id, " + "wallMs.getAsLong()), written));",
                "write(List.of(new Waiting(new Entry(Entry.Kind.SENT, id, " + "wallMs.getAsLong()), written)));",
                "the writer's alone"
            },
            {
                "JournalLoad",
                "NonRepeatableJournal.java",
                "map(Waiting::written).filter",
                "map(Waiting::written).limit(0).filter",
                "may be sent"
            },
        };
    }
}
