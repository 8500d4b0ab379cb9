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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.snapshot.storage.FaultyDisk;
import peppergauge.snapshot.storage.SnapshotFiles;

public class JournalTest {

    private final AtomicLong wallMs = new AtomicLong(1_700_000_000_000L);
    private final List<String> lines = new ArrayList<>();
    private FaultyDisk disk;
    private Path folder;
    private SnapshotFiles shelf;

    @BeforeMethod
    public void make() throws IOException {
        folder = Files.createTempDirectory("journal").resolve("kept");
        disk = new FaultyDisk();
        shelf = new SnapshotFiles(disk, folder, "a");
        lines.clear();
    }

    @AfterMethod
    public void clear() throws IOException {
        shelf.close();
        try (var files = Files.walk(folder.getParent())) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private NonRepeatableJournal journal(long most) {
        return new NonRepeatableJournal(disk, shelf, most, false, wallMs::get, lines::add);
    }

    private static void sent(NonRepeatableJournal journal, String id) throws InterruptedException {
        CountDownLatch written = new CountDownLatch(1);
        journal.recordSent(id, written::countDown);
        assertTrue(written.await(5, TimeUnit.SECONDS));
    }

    @Test
    public void whatMayHaveRunIsKnownToTheNextProcessForAWhile() throws Exception {
        try (NonRepeatableJournal journal = journal(1 << 20)) {
            for (String id : new String[] {"open", "ended", "never", "twice"}) {
                sent(journal, id);
            }
            journal.recordEnded("ended", false);
            journal.recordEnded("never", true);
            journal.recordEnded("twice", true);
            sent(journal, "twice");
            assertFalse(journal.mayHaveRun("open"), "only what the process before left");
        }
        wallMs.addAndGet(29_000);
        assertKept(Set.of("open", "ended", "twice"));
        wallMs.addAndGet(29_000);
        assertKept(Set.of("open", "twice"));
        wallMs.addAndGet(-700_000);
        assertKept(Set.of());
    }

    private void assertKept(Set<String> ids) {
        try (NonRepeatableJournal journal = journal(1 << 20)) {
            Set<String> kept = new HashSet<>(Set.of("open", "ended", "never", "twice"));
            kept.removeIf(id -> !journal.mayHaveRun(id));
            assertEquals(kept, ids);
        }
    }

    /** Wherever it breaks off, what stands before is read; a byte changed ends it there. */
    @Test
    public void aTornTailEndsItAndNothingElse() throws Exception {
        try (NonRepeatableJournal journal = journal(1 << 20)) {
            for (int i = 0; i < 5; i++) {
                sent(journal, "id" + i);
            }
        }
        byte[] whole = Files.readAllBytes(shelf.file(".donations"));
        int record = (whole.length - 8) / 5;
        for (int length = 0; length <= whole.length; length++) {
            assertEquals(count(Arrays.copyOf(whole, length)), Math.max(0, (length - 8) / record));
        }
        for (int i = 0; i < whole.length; i++) {
            byte[] flipped = whole.clone();
            flipped[i] ^= 4;
            assertEquals(count(flipped), i < 8 ? 0 : (i - 8) / record);
        }
        byte[] shifted = new byte[whole.length - record];
        System.arraycopy(whole, 0, shifted, 0, 8);
        System.arraycopy(whole, 8 + record, shifted, 8, shifted.length - 8);
        assertEquals(count(shifted), 0, "records that stand where they were not written");
    }

    private int count(byte[] file) throws IOException {
        Files.write(shelf.file(".donations"), file);
        NonRepeatableIds ledger = new NonRepeatableIds();
        new JournalFile(disk, shelf, 1 << 20).read(ledger);
        return ledger.size();
    }

    @Test
    public void itStaysWithinItsBoundAndKeepsTheNewestOpenOnes() throws Exception {
        try (NonRepeatableJournal journal = journal(4_096)) {
            for (int i = 0; i < 1_000; i++) {
                sent(journal, "id" + i);
                assertTrue(Files.size(shelf.file(".donations")) <= 4_096);
                if (i % 2 == 0) {
                    journal.recordEnded("id" + i, false);
                }
            }
        }
        try (NonRepeatableJournal journal = journal(4_096)) {
            assertTrue(journal.mayHaveRun("id999") && journal.mayHaveRun("id901"));
        }
    }

    @Test
    public void onAFullDiskRequestsGoOnUnguardedAndOneLineSaysSo() throws Exception {
        try (NonRepeatableJournal journal = journal(1 << 20)) {
            sent(journal, "before");
            disk.fails = "write"::equals;
            for (int i = 0; i < 50; i++) {
                sent(journal, "full" + i);
            }
            disk.fails = operation -> false;
            wallMs.addAndGet(1_000);
            sent(journal, "after");
        }
        assertEquals(lines.size(), 3, lines.toString());
        try (NonRepeatableJournal journal = journal(1 << 20)) {
            assertTrue(journal.mayHaveRun("before") && journal.mayHaveRun("full3") && journal.mayHaveRun("after"));
        }
    }
}
