package peppergauge.snapshot.nonrepeatable;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.testng.annotations.Test;
import peppergauge.snapshot.storage.PosixFileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/** A journal that revision e30269d wrote is read: request r1 never ran, r2 ended, r3 was in flight. */
public class StoredJournalTest {

    private static final Path STORED = Path.of("src/test/resources/stored/gateway.donations");
    private static final long MAX_BYTES = 4_096;

    @Test
    public void readsStoredJournal() throws Exception {
        Path folder = Files.createTempDirectory("stored");
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
        Files.copy(STORED, folder.resolve("gateway.donations"));
        PosixFileSystem fileSystem = new PosixFileSystem();
        try (SnapshotFiles files = new SnapshotFiles(fileSystem, folder, "gateway");
                JournalFile journal = new JournalFile(fileSystem, files, MAX_BYTES)) {
            NonRepeatableIds ids = new NonRepeatableIds();
            assertNull(journal.read(ids));
            assertEquals(ids.size(), 2);
            assertEquals(ids.contains("r1"), false);
            assertEquals(ids.contains("r2"), true);
            assertEquals(ids.contains("r3"), true);
            // The id of an ended request is kept for 30 s, that of a request in flight for 600 s.
            ids.removeExpired(1_780_000_030_005.0);
            assertEquals(ids.contains("r2"), false);
            assertEquals(ids.contains("r3"), true);
        }
    }
}
