package peppergauge.snapshot.nonrepeatable;

import static peppergauge.invariant.Loads.require;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import peppergauge.invariant.Loads;
import peppergauge.snapshot.storage.FaultyFileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/** Records requests in a journal on a file system that fails at random, and opens the journal again. */
public final class JournalLoad {

    private static final int STEPS = Loads.steps(100);

    private JournalLoad() {}

    /** @throws AssertionError if a check fails */
    public static void run(long seed) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        boolean hasFailures = random.nextBoolean();
        Path folder = Files.createTempDirectory("journal");
        AtomicInteger written = new AtomicInteger();
        int sent = 0;
        try (SnapshotFiles files = new SnapshotFiles(new FaultyFileSystem(), folder.resolve("state"), "a")) {
            FaultyFileSystem fileSystem = new FaultyFileSystem();
            fileSystem.failure = operation -> hasFailures && random.nextInt(10) == 0;
            try (NonRepeatableJournal journal = journal(fileSystem, files)) {
                for (int i = 0; i < STEPS; i++) {
                    if (random.nextInt(3) > 0) {
                        journal.recordSent("d" + i, written::incrementAndGet);
                        sent++;
                    } else {
                        journal.recordEnded("d" + random.nextInt(i + 1), random.nextBoolean());
                    }
                }
                // Closing a journal waits for a limited time, in which a thread without CPU time writes nothing.
                for (int i = 0; i < 1_000 && written.get() < sent; i++) {
                    Thread.sleep(10);
                }
            }
            require(written.get() == sent, written + " of " + sent + " requests may be sent, expected all");
            journal(new FaultyFileSystem(), files).close();
        } finally {
            try (Stream<Path> paths = Files.walk(folder)) {
                paths.sorted((a, b) -> b.compareTo(a)).map(Path::toFile).forEach(File::delete);
            }
        }
    }

    private static NonRepeatableJournal journal(FaultyFileSystem fileSystem, SnapshotFiles files) {
        return new NonRepeatableJournal(
                fileSystem, files, 1_000_000, false, System::currentTimeMillis, (event, fields) -> {});
    }
}
