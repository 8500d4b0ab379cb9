package peppergauge.snapshot.nonrepeatable;

import static peppergauge.invariant.Loads.require;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
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
        AtomicInteger decided = new AtomicInteger();
        Set<String> recorded = ConcurrentHashMap.newKeySet();
        Set<String> ended = new HashSet<>();
        int requested = 0;
        try (SnapshotFiles files = new SnapshotFiles(new FaultyFileSystem(), folder.resolve("state"), "a")) {
            FaultyFileSystem fileSystem = new FaultyFileSystem();
            fileSystem.failure = operation -> hasFailures && random.nextInt(10) == 0;
            try (NonRepeatableJournal journal = journal(fileSystem, files)) {
                for (int i = 0; i < STEPS; i++) {
                    if (random.nextInt(3) > 0) {
                        journal.recordSent("d" + i, listener("d" + i, recorded, decided));
                        requested++;
                    } else {
                        String id = "d" + random.nextInt(i + 1);
                        ended.add(id);
                        journal.recordEnded(id, random.nextBoolean());
                    }
                }
                // Closing a journal waits for a limited time, in which a thread without CPU time writes nothing.
                for (int i = 0; i < 1_000 && decided.get() < requested; i++) {
                    Thread.sleep(10);
                }
            }
            require(decided.get() == requested, decided + " of " + requested + " requests were decided, expected all");
            NonRepeatableJournal next = journal(new FaultyFileSystem(), files);
            recorded.removeAll(ended);
            for (String id : recorded) {
                require(next.mayHaveRun(id), id + " was sent and is not known to the next process");
            }
            next.close();
        } finally {
            try (Stream<Path> paths = Files.walk(folder)) {
                paths.sorted((a, b) -> b.compareTo(a)).map(Path::toFile).forEach(File::delete);
            }
        }
    }

    private static NonRepeatableJournal.RecordListener listener(
            String id, Set<String> recorded, AtomicInteger decided) {
        return new NonRepeatableJournal.RecordListener() {
            @Override
            public void onRecorded() {
                recorded.add(id);
                decided.incrementAndGet();
            }

            @Override
            public void onFailed() {
                decided.incrementAndGet();
            }
        };
    }

    private static NonRepeatableJournal journal(FaultyFileSystem fileSystem, SnapshotFiles files) {
        return new NonRepeatableJournal(
                fileSystem, files, 1_000_000, false, System::currentTimeMillis, (event, fields) -> {});
    }
}
