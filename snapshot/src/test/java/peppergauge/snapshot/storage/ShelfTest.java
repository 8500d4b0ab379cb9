package peppergauge.snapshot.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ShelfTest {

    private Path folder;

    @BeforeMethod
    public void make() throws IOException {
        folder = Files.createTempDirectory("shelf").resolve("kept");
    }

    @AfterMethod
    public void clear() throws IOException {
        try (var files = Files.walk(folder.getParent())) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private static List<Integer> kept(SnapshotFiles shelf) {
        return shelf.read(100).stream().map(found -> (int) found.bytes()[0]).toList();
    }

    private static byte[] bytes(int number) {
        return new byte[] {(byte) number, 0, 0, (byte) number};
    }

    @Test
    public void theNewestTwoAreKeptForThisUserOnly() throws IOException {
        try (SnapshotFiles shelf = new SnapshotFiles(new PosixFileSystem(), folder, "a/../b")) {
            for (int i = 1; i <= 3; i++) {
                shelf.put(bytes(i));
            }
            assertEquals(kept(shelf), List.of(3, 2));
            assertEquals(PosixFilePermissions.toString(Files.getPosixFilePermissions(folder)), "rwx------");
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    assertEquals(PosixFilePermissions.toString(Files.getPosixFilePermissions(file)), "rw-------");
                }
            }
            assertThrows(IOException.class, () -> new SnapshotFiles(new PosixFileSystem(), folder, "a/../b"));
            new SnapshotFiles(new PosixFileSystem(), folder, "a/../c").close();
        }
        new SnapshotFiles(new PosixFileSystem(), folder, "a/../b").close();
    }

    @DataProvider
    public Object[][] operations() {
        List<Object[]> rows = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            rows.add(new Object[] {i});
        }
        return rows.toArray(Object[][]::new);
    }

    /** Whatever step of a writing fails: the newest or the one before is there, whole, and the next one works. */
    @Test(dataProvider = "operations")
    public void afterAFailureAtAnyStepTheNewestOrTheOneBeforeIsThere(int step) throws IOException {
        FaultyDisk disk = new FaultyDisk();
        try (SnapshotFiles shelf = new SnapshotFiles(disk, folder, "a")) {
            shelf.put(bytes(1));
            shelf.put(bytes(2));
            disk.done.clear();
            disk.fails = operation -> disk.done.size() == step + 1;
            boolean failed = false;
            try {
                shelf.put(bytes(3));
            } catch (IOException full) {
                failed = true;
            }
            disk.fails = operation -> false;
            assertEquals(failed, step < 6, disk.done.toString());
            int newest = kept(shelf).get(0);
            assertTrue(newest == 2 || newest == 3, kept(shelf).toString());
            shelf.put(bytes(4));
            assertEquals(kept(shelf).get(0), 4);
        }
    }

    @Test
    public void aFolderThatVanishesIsTakenUpAgainOnlyUnderItsLock() throws IOException {
        try (SnapshotFiles shelf = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
            shelf.put(bytes(1));
            Files.move(folder, folder.resolveSibling("gone"));
            shelf.put(bytes(2));
            assertEquals(kept(shelf), List.of(2));
            Files.move(folder, folder.resolveSibling("gone too"));
            try (SnapshotFiles other = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
                assertThrows(IOException.class, () -> shelf.put(bytes(3)));
                other.put(bytes(4));
            }
            shelf.put(bytes(5));
            assertEquals(kept(shelf), List.of(5, 4));
        }
    }

    @DataProvider
    public Object[][] folders() {
        return new Object[][] {
            {"open", "lets others in"}, {"link", "is no folder"}, {"file", "is no folder"}, {"orphan", "no such file"}
        };
    }

    @Test(dataProvider = "folders")
    public void aFolderThatIsNotThisUsersAloneIsRefused(String kind, String why) throws IOException {
        Path real = Files.createDirectory(
                folder.resolveSibling("real"),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        switch (kind) {
            case "open" ->
                Files.setPosixFilePermissions(
                        Files.createDirectory(folder), PosixFilePermissions.fromString("rwxr-x---"));
            case "link" -> Files.createSymbolicLink(folder, real);
            case "file" -> Files.createFile(folder);
            default -> folder = folder.resolve("deeper");
        }
        IOException refused =
                expectThrows(IOException.class, () -> new SnapshotFiles(new PosixFileSystem(), folder, "a"));
        assertTrue(SnapshotFiles.describe(refused).contains(why), SnapshotFiles.describe(refused));
        folder = real;
    }

    @Test
    public void bytesOfAMinuteAreBounded() {
        ByteRateLimiter allowance = new ByteRateLimiter(600, 0);
        assertTrue(allowance.tryAcquire(600, 0));
        assertTrue(!allowance.tryAcquire(100, 9_999));
        assertTrue(allowance.tryAcquire(100, 10_001));
        assertTrue(!allowance.tryAcquire(601, 1e9));
    }

    @Test
    public void aFailureThatLastsIsToldOnceAMinute() {
        List<String> lines = new ArrayList<>();
        FailureLog complaints = new FailureLog(lines::add);
        for (int second = 0; second < 61; second++) {
            complaints.onFailure(second * 1_000, "w", "full");
        }
        complaints.onSuccess("w");
        complaints.onSuccess("w");
        assertEquals(lines, List.of("w: full", "w: full (61 times in a row)", "w works again after 61 failures"));
    }
}
