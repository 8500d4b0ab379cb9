package peppergauge.snapshot.nonrepeatable;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.testng.annotations.Test;
import peppergauge.snapshot.storage.PosixFileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/** The journal that the program of revision e30269d wrote is read: r1 never ran, r2 ended, r3 was under way. */
public class StoredJournalTest {

    private static final Path STORED = Path.of("src/test/resources/stored/gateway.donations");
    private static final long MAX_BYTES = 4_096;

    @Test
    public void aStoredJournalReadsToItsEntries() throws Exception {
        Path folder = Files.createTempDirectory("stored");
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
        Files.copy(STORED, folder.resolve("gateway.donations"));
        PosixFileSystem disk = new PosixFileSystem();
        try (SnapshotFiles files = new SnapshotFiles(disk, folder, "gateway");
                JournalFile journal = new JournalFile(disk, files, MAX_BYTES)) {
            NonRepeatableIds ledger = new NonRepeatableIds();
            assertNull(journal.read(ledger));
            assertEquals(ledger.size(), 2);
            assertEquals(ledger.contains("r1"), false);
            assertEquals(ledger.contains("r2"), true);
            assertEquals(ledger.contains("r3"), true);
            // An end is remembered for 30 s, a request under way for 600 s.
            ledger.removeExpired(1_780_000_030_005.0);
            assertEquals(ledger.contains("r2"), false);
            assertEquals(ledger.contains("r3"), true);
        }
    }
}
