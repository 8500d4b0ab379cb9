package peppergauge.snapshot.nonrepeatable;

import org.testng.annotations.DataProvider;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;

/** The journal of non-repeatable requests under random load with assertions on, unchanged and with planted faults. */
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
                "NonRepeatableIds.java",
                "entry.kind() != JournalEntry.Kind.NEVER_RAN) {",
                "entry.kind() != null) {",
                "entry not applied"
            },
            {
                "LedgerLoad",
                "NonRepeatableIds.java",
                "(remainingBytes -= all.get(i).sizeBytes()) >= 0",
                "remainingBytes >= 0",
                "entries exceed"
            },
            {"LedgerLoad", "NonRepeatableIds.java", "all.get(i).kind() == kind && ", "", "an id occurs twice"},
            {
                "LedgerLoad",
                "JournalFile.java",
                "lengthBytes + bytes > maxBytes",
                "lengthBytes > maxBytes",
                "journal exceeds its size limit"
            },
            {"LedgerLoad", "JournalFile.java", "        lengthBytes += bytes;\n", "", "truncated or damaged"},
            {
                "JournalLoad",
                "NonRepeatableJournal.java",
                "queue.add(new QueuedEntry(new JournalEntry(JournalEntry.Kind.SENT, id, wallClockMs.getAsLong()), listener));",
                "write(List.of(new QueuedEntry(new JournalEntry(JournalEntry.Kind.SENT, id, wallClockMs.getAsLong()), listener)));",
                "only the writer thread may use the ids"
            },
            {
                "JournalLoad",
                "NonRepeatableJournal.java",
                "                notifyListener(entry, isRecorded);\n",
                "",
                "were decided"
            },
            {
                "JournalLoad",
                "NonRepeatableJournal.java",
                "        if (isRecorded) {\n",
                "        if (isRecorded || isFailing) {\n",
                "was sent and is not known"
            },
        };
    }
}
