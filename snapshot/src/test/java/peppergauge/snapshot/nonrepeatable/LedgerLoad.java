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
import peppergauge.snapshot.storage.FaultyFileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/** Appends random entries to a journal file whose file system fails at random, and reads it after each batch. */
public final class LedgerLoad {

    private static final int STEPS = Loads.steps(300);
    private static final long MAX_BYTES = 2_000;

    private final SplittableRandom random;
    private final FaultyFileSystem fileSystem = new FaultyFileSystem();
    private final NonRepeatableIds ids = new NonRepeatableIds();
    /** The last entry of each id in the batch that was written last. */
    private final Map<String, JournalEntry> lastEntries = new HashMap<>();

    private long wallMs = 1_700_000_000_000L;

    private LedgerLoad(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @throws AssertionError if a check fails */
    public static void run(long seed) throws IOException {
        Path folder = Files.createTempDirectory("ledger");
        try (SnapshotFiles files = new SnapshotFiles(new FaultyFileSystem(), folder.resolve("state"), "a")) {
            new LedgerLoad(seed).run(files);
        } finally {
            try (Stream<Path> paths = Files.walk(folder)) {
                paths.sorted((a, b) -> b.compareTo(a)).map(Path::toFile).forEach(File::delete);
            }
        }
    }

    private void run(SnapshotFiles files) throws IOException {
        JournalFile file = new JournalFile(fileSystem, files, MAX_BYTES);
        boolean hasFailures = random.nextBoolean();
        fileSystem.failure = operation -> hasFailures && random.nextInt(40) == 0;
        for (int i = 0; i < STEPS; i++) {
            wallMs += random.nextInt(20) == 0 ? random.nextInt(40_000) : random.nextInt(100);
            List<JournalEntry> batch = batch();
            batch.forEach(ids::apply);
            boolean written = true;
            try {
                file.append(batch, ids, random.nextBoolean(), wallMs);
            } catch (IOException full) {
                written = false;
            }
            if (written) {
                verifyRead(files, batch);
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

    /** Requires that a process that starts after a crash reads what was just written. */
    private void verifyRead(SnapshotFiles files, List<JournalEntry> batch) throws IOException {
        NonRepeatableIds readIds = new NonRepeatableIds();
        String damage = new JournalFile(new FaultyFileSystem(), files, MAX_BYTES).read(readIds);
        require(damage == null, damage);
        lastEntries.clear();
        batch.forEach(entry -> lastEntries.put(entry.id(), entry));
        // An ended request may have been dropped in favor of one in flight.
        lastEntries
                .values()
                .forEach(entry -> require(
                        entry.kind() == JournalEntry.Kind.ENDED
                                || readIds.contains(entry.id()) == (entry.kind() == JournalEntry.Kind.SENT),
                        entry + " must be read as it was written"));
    }
}
