package peppergauge.snapshot.nonrepeatable;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.snapshot.storage.FaultyFileSystem;
import peppergauge.snapshot.storage.RecordingEventLog;
import peppergauge.snapshot.storage.SnapshotFiles;

public class NonRepeatableJournalTest {

    private static final String[] FILE_OPERATIONS = {"write", "force", "create", "rename", "force folder"};

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

    private static void recordSent(NonRepeatableJournal journal, String id) throws Exception {
        assertTrue(tryRecordSent(journal, id), id + " must be recorded");
    }

    /** Returns whether the request was recorded, and may be sent. */
    private static boolean tryRecordSent(NonRepeatableJournal journal, String id) throws Exception {
        CompletableFuture<Boolean> recorded = new CompletableFuture<>();
        journal.recordSent(id, new NonRepeatableJournal.RecordListener() {
            @Override
            public void onRecorded() {
                recorded.complete(true);
            }

            @Override
            public void onFailed() {
                recorded.complete(false);
            }
        });
        return recorded.get(5, TimeUnit.SECONDS);
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

    @DataProvider
    public Object[][] diskFailures() {
        return new Object[][] {{"write"}, {"force"}, {"create"}, {"rename"}, {"force folder"}};
    }

    /** Requests were sent unrecorded while the disk failed, and ran twice when they came again after a crash. */
    @Test(dataProvider = "diskFailures")
    public void recordsNoRequestOnAFailingDiskAndRecoversWithoutANewOne(String failing) throws Exception {
        try (NonRepeatableJournal journal =
                new NonRepeatableJournal(fileSystem, files, 4_096, true, wallMs::get, log)) {
            recordSent(journal, "before");
            fileSystem.failure = failing::equals;
            List<String> sentDuring = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                if (tryRecordSent(journal, "full" + i)) {
                    sentDuring.add("full" + i);
                }
            }
            // Only what needs another file fails where appending works.
            assertTrue(journal.isFailing(), sentDuring.size() + " were sent");
            assertFalse(tryRecordSent(journal, "unsent"));
            fileSystem.failure = operation -> false;
            long startNs = System.nanoTime();
            while (journal.isFailing()) {
                Thread.sleep(5);
                assertTrue(System.nanoTime() - startNs < 1_000_000_000L, "still failing a second after the disk works");
            }
            recordSent(journal, "after");
            assertSent(journal, sentDuring);
        }
        assertEquals(
                log.lines.stream().map(line -> line.split(" ")[0]).toList(),
                List.of("request_journal_read", "request_journal_failed", "request_journal_recovered"),
                log.lines.toString());
    }

    /** What was sent is known to a process that starts with what is on the disk now. */
    private void assertSent(NonRepeatableJournal journal, List<String> sentDuring) throws IOException {
        assertFalse(journal.isFailing());
        NonRepeatableIds known = new NonRepeatableIds();
        new JournalFile(fileSystem, files, 1 << 20).read(known);
        assertTrue(known.contains("after"));
        // The newest of them, within the size limit of the file.
        for (String id : sentDuring.subList(Math.max(0, sentDuring.size() - 20), sentDuring.size())) {
            assertTrue(known.contains(id), id);
        }
    }

    /** A process that is killed while the disk fails knows all that it has sent. */
    @Test
    public void knowsAllRequestsThatWereSentWhenKilledWhileTheDiskFails() throws Exception {
        NonRepeatableJournal journal = new NonRepeatableJournal(fileSystem, files, 1 << 20, true, wallMs::get, log);
        Set<String> sent = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            String failing = FILE_OPERATIONS[i % FILE_OPERATIONS.length];
            boolean isFailing = i % 7 == 3;
            fileSystem.failure = operation -> isFailing && operation.equals(failing);
            if (tryRecordSent(journal, "id" + i)) {
                sent.add("id" + i);
            }
            fileSystem.failure = operation -> false;
            for (int tries = 0; journal.isFailing() && tries < 200; tries++) {
                Thread.sleep(5);
            }
            NonRepeatableIds known = new NonRepeatableIds();
            new JournalFile(new FaultyFileSystem(), files, 1 << 20).read(known);
            for (String id : sent) {
                assertTrue(known.contains(id), id + " was sent before step " + i);
            }
        }
        journal.close();
        assertTrue(sent.size() >= 34, "sent " + sent.size());
    }
}
