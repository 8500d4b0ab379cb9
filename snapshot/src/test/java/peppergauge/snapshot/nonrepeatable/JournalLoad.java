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
import peppergauge.snapshot.storage.FaultyDisk;
import peppergauge.snapshot.storage.SnapshotFiles;

/** The journal with its thread: told by another, on a disk that fails now and then, and read by the process after it. */
public final class JournalLoad {

    private static final int STEPS = Loads.steps(100);

    private JournalLoad() {}

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        boolean fails = random.nextBoolean();
        Path folder = Files.createTempDirectory("journal");
        AtomicInteger written = new AtomicInteger();
        int sent = 0;
        try (SnapshotFiles shelf = new SnapshotFiles(new FaultyDisk(), folder.resolve("kept"), "a")) {
            FaultyDisk disk = new FaultyDisk();
            disk.fails = operation -> fails && random.nextInt(10) == 0;
            try (NonRepeatableJournal journal = journal(disk, shelf)) {
                for (int i = 0; i < STEPS; i++) {
                    if (random.nextInt(3) > 0) {
                        journal.recordSent("d" + i, written::incrementAndGet);
                        sent++;
                    } else {
                        journal.recordEnded("d" + random.nextInt(i + 1), random.nextBoolean());
                    }
                }
                // The end of a journal does not wait for ever: a thread that got no CPU has written nothing by then.
                for (int i = 0; i < 1_000 && written.get() < sent; i++) {
                    Thread.sleep(10);
                }
            }
            require(written.get() == sent, sent + " requests, of which " + written + " may be sent");
            journal(new FaultyDisk(), shelf).close();
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted((a, b) -> b.compareTo(a)).map(Path::toFile).forEach(File::delete);
            }
        }
    }

    private static NonRepeatableJournal journal(FaultyDisk disk, SnapshotFiles shelf) {
        return new NonRepeatableJournal(disk, shelf, 1_000_000, false, System::currentTimeMillis, line -> {});
    }
}
