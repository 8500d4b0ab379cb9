package peppergauge.snapshot.nonrepeatable;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.snapshot.storage.FaultyFileSystem;
import peppergauge.snapshot.storage.RecordingEventLog;
import peppergauge.snapshot.storage.SnapshotFiles;

public class NonRepeatableJournalTest {

    private final AtomicLong wallMs = new AtomicLong(1_700_000_000_000L);
    private RecordingEventLog log;
    private FaultyFileSystem fileSystem;
    private Path folder;
    private SnapshotFiles files;

    @BeforeMethod
    public void createFiles() throws IOException {
        folder = Files.createTempDirectory("journal").resolve("state");
        fileSystem = new FaultyFileSystem();
        files = new SnapshotFiles(fileSystem, folder, "a");
        log = new RecordingEventLog();
    }

    @AfterMethod
    public void deleteFiles() throws IOException {
        files.close();
        try (var paths = Files.walk(folder.getParent())) {
            paths.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private NonRepeatableJournal openJournal(long maxBytes) {
        return new NonRepeatableJournal(fileSystem, files, maxBytes, false, wallMs::get, log);
    }

    private static void recordSent(NonRepeatableJournal journal, String id) throws InterruptedException {
        CountDownLatch written = new CountDownLatch(1);
        journal.recordSent(id, written::countDown);
        assertTrue(written.await(5, TimeUnit.SECONDS), id + " must be written within 5 s");
    }

    @Test
    public void nextProcessKnowsRequestsThatMayHaveRunUntilTheyExpire() throws Exception {
        try (NonRepeatableJournal journal = openJournal(1 << 20)) {
            for (String id : new String[] {"open", "ended", "never", "twice"}) {
                recordSent(journal, id);
            }
            journal.recordEnded("ended", false);
            journal.recordEnded("never", true);
            journal.recordEnded("twice", true);
            recordSent(journal, "twice");
            assertFalse(journal.mayHaveRun("open"), "only requests of the previous process may have run before");
        }
        wallMs.addAndGet(29_000);
        assertKnown(Set.of("open", "ended", "twice"));
        wallMs.addAndGet(29_000);
        assertKnown(Set.of("open", "twice"));
        wallMs.addAndGet(-700_000);
        assertKnown(Set.of());
    }

    private void assertKnown(Set<String> ids) {
        try (NonRepeatableJournal journal = openJournal(1 << 20)) {
            Set<String> known = new HashSet<>(Set.of("open", "ended", "never", "twice"));
            known.removeIf(id -> !journal.mayHaveRun(id));
            assertEquals(known, ids);
        }
    }

    /** Entries before a truncation or a changed byte are read; the entries after it are not. */
    @Test
    public void readsEntriesBeforeTruncationOrDamage() throws Exception {
        try (NonRepeatableJournal journal = openJournal(1 << 20)) {
            for (int i = 0; i < 5; i++) {
                recordSent(journal, "id" + i);
            }
        }
        byte[] complete = Files.readAllBytes(files.file(".donations"));
        int entryBytes = (complete.length - 8) / 5;
        for (int length = 0; length <= complete.length; length++) {
            assertEquals(countReadIds(Arrays.copyOf(complete, length)), Math.max(0, (length - 8) / entryBytes));
        }
        for (int i = 0; i < complete.length; i++) {
            byte[] flipped = complete.clone();
            flipped[i] ^= 4;
            assertEquals(countReadIds(flipped), i < 8 ? 0 : (i - 8) / entryBytes);
        }
        byte[] shifted = new byte[complete.length - entryBytes];
        System.arraycopy(complete, 0, shifted, 0, 8);
        System.arraycopy(complete, 8 + entryBytes, shifted, 8, shifted.length - 8);
        assertEquals(countReadIds(shifted), 0, "entries at other positions than they were written at must be invalid");
    }

    private int countReadIds(byte[] file) throws IOException {
        Files.write(files.file(".donations"), file);
        NonRepeatableIds ids = new NonRepeatableIds();
        new JournalFile(fileSystem, files, 1 << 20).read(ids);
        return ids.size();
    }

    @Test
    public void staysWithinSizeLimitAndKeepsNewestRequestsInFlight() throws Exception {
        try (NonRepeatableJournal journal = openJournal(4_096)) {
            for (int i = 0; i < 1_000; i++) {
                recordSent(journal, "id" + i);
                assertTrue(Files.size(files.file(".donations")) <= 4_096);
                if (i % 2 == 0) {
                    journal.recordEnded("id" + i, false);
                }
            }
        }
        try (NonRepeatableJournal journal = openJournal(4_096)) {
            assertTrue(journal.mayHaveRun("id999") && journal.mayHaveRun("id901"));
        }
    }

    @Test
    public void sendsRequestsUnrecordedAndLogsOnceOnFullDisk() throws Exception {
        try (NonRepeatableJournal journal = openJournal(1 << 20)) {
            recordSent(journal, "before");
            fileSystem.failure = "write"::equals;
            for (int i = 0; i < 50; i++) {
                recordSent(journal, "full" + i);
            }
            fileSystem.failure = operation -> false;
            wallMs.addAndGet(1_000);
            recordSent(journal, "after");
        }
        assertEquals(
                log.lines.stream().map(line -> line.split(" ")[0]).toList(),
                List.of("request_journal_read", "request_journal_failed", "request_journal_recovered"),
                log.lines.toString());
        try (NonRepeatableJournal journal = openJournal(1 << 20)) {
            assertTrue(journal.mayHaveRun("before") && journal.mayHaveRun("full3") && journal.mayHaveRun("after"));
        }
    }
}
