package peppergauge.snapshot.nonrepeatable;

import static peppergauge.invariant.Loads.require;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import peppergauge.invariant.Loads;
import peppergauge.snapshot.storage.FaultyDisk;
import peppergauge.snapshot.storage.SnapshotFiles;

/** Non-repeatable requests sent and ended in any order, on a disk that fails now and then, read again after each few. */
public final class LedgerLoad {

    private static final int STEPS = Loads.steps(300);
    private static final long MOST = 2_000;

    private final SplittableRandom random;
    private final FaultyDisk disk = new FaultyDisk();
    private final NonRepeatableIds ledger = new NonRepeatableIds();
    /** What must be known: told last, and not by a disk that failed. */
    private final Map<String, JournalEntry> told = new HashMap<>();

    private long wallMs = 1_700_000_000_000L;

    private LedgerLoad(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) throws IOException {
        Path folder = Files.createTempDirectory("ledger");
        try (SnapshotFiles shelf = new SnapshotFiles(new FaultyDisk(), folder.resolve("kept"), "a")) {
            new LedgerLoad(seed).whole(shelf);
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted((a, b) -> b.compareTo(a)).map(Path::toFile).forEach(File::delete);
            }
        }
    }

    private void whole(SnapshotFiles shelf) throws IOException {
        JournalFile file = new JournalFile(disk, shelf, MOST);
        boolean fails = random.nextBoolean();
        disk.fails = operation -> fails && random.nextInt(40) == 0;
        for (int i = 0; i < STEPS; i++) {
            wallMs += random.nextInt(20) == 0 ? random.nextInt(40_000) : random.nextInt(100);
            List<JournalEntry> batch = batch();
            batch.forEach(ledger::apply);
            boolean written = true;
            try {
                file.append(batch, ledger, random.nextBoolean(), wallMs);
            } catch (IOException full) {
                written = false;
            }
            if (written) {
                readAgain(shelf, batch);
            }
        }
        file.close();
    }

    private List<JournalEntry> batch() {
        List<JournalEntry> batch = new ArrayList<>();
        for (int i = random.nextInt(1, 4); i > 0; i--) {
            batch.add(
                    new JournalEntry(JournalEntry.Kind.values()[random.nextInt(3)], "d" + random.nextInt(120), wallMs));
        }
        return batch;
    }

    /** What was just written is what a process after a crash would know. */
    private void readAgain(SnapshotFiles shelf, List<JournalEntry> batch) {
        NonRepeatableIds again = new NonRepeatableIds();
        String wrong = new JournalFile(new FaultyDisk(), shelf, MOST).read(again);
        require(wrong == null, wrong);
        told.clear();
        batch.forEach(entry -> told.put(entry.id(), entry));
        // One that ended may have had to make room for one that did not.
        told.values()
                .forEach(entry -> require(
                        entry.kind() == JournalEntry.Kind.ENDED
                                || again.contains(entry.id()) == (entry.kind() == JournalEntry.Kind.SENT),
                        entry + " is known otherwise"));
    }
}
