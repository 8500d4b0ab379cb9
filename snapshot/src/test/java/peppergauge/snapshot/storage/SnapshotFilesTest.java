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

public class SnapshotFilesTest {

    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("snapshot-files").resolve("state");
    }

    @AfterMethod
    public void deleteFolder() throws IOException {
        try (var paths = Files.walk(folder.getParent())) {
            paths.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private static List<Integer> numbers(SnapshotFiles files) {
        return files.read(100).stream().map(found -> (int) found.bytes()[0]).toList();
    }

    private static byte[] bytes(int number) {
        return new byte[] {(byte) number, 0, 0, (byte) number};
    }

    @Test
    public void keepsNewestTwoSnapshotsReadableByOwnerOnly() throws IOException {
        try (SnapshotFiles files = new SnapshotFiles(new PosixFileSystem(), folder, "a/../b")) {
            for (int i = 1; i <= 3; i++) {
                files.put(bytes(i));
            }
            assertEquals(numbers(files), List.of(3, 2));
            assertEquals(PosixFilePermissions.toString(Files.getPosixFilePermissions(folder)), "rwx------");
            try (var paths = Files.list(folder)) {
                for (Path file : paths.toList()) {
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

    /** Whichever operation of a write fails, the new or previous snapshot is readable, and the next write succeeds. */
    @Test(dataProvider = "operations")
    public void newOrPreviousSnapshotIsReadableAfterFailureAtAnyOperation(int step) throws IOException {
        FaultyFileSystem fileSystem = new FaultyFileSystem();
        try (SnapshotFiles files = new SnapshotFiles(fileSystem, folder, "a")) {
            files.put(bytes(1));
            files.put(bytes(2));
            fileSystem.operations.clear();
            fileSystem.failure = operation -> fileSystem.operations.size() == step + 1;
            boolean failed = false;
            try {
                files.put(bytes(3));
            } catch (IOException full) {
                failed = true;
            }
            fileSystem.failure = operation -> false;
            assertEquals(failed, step < 6, fileSystem.operations.toString());
            int newest = numbers(files).get(0);
            assertTrue(newest == 2 || newest == 3, numbers(files).toString());
            files.put(bytes(4));
            assertEquals(numbers(files).get(0), 4);
        }
    }

    @Test
    public void reopensMovedFolderOnlyWithItsLock() throws IOException {
        try (SnapshotFiles files = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
            files.put(bytes(1));
            Files.move(folder, folder.resolveSibling("gone"));
            files.put(bytes(2));
            assertEquals(numbers(files), List.of(2));
            Files.move(folder, folder.resolveSibling("gone too"));
            try (SnapshotFiles other = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
                assertThrows(IOException.class, () -> files.put(bytes(3)));
                other.put(bytes(4));
            }
            files.put(bytes(5));
            assertEquals(numbers(files), List.of(5, 4));
        }
    }

    @DataProvider
    public Object[][] folders() {
        return new Object[][] {
            {"open", "is accessible to other users"},
            {"link", "is not a folder"},
            {"file", "is not a folder"},
            {"orphan", "no such file"}
        };
    }

    @Test(dataProvider = "folders")
    public void rejectsFolderThatIsNotPrivate(String kind, String reason) throws IOException {
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
        String message = SnapshotFiles.describe(refused);
        assertTrue(message.contains(reason), reason + " expected in " + message);
        folder = real;
    }

    @Test
    public void limitsBytesWrittenInAMinute() {
        ByteRateLimiter limiter = new ByteRateLimiter(600, 0);
        assertTrue(limiter.tryAcquire(600, 0));
        assertTrue(!limiter.tryAcquire(100, 9_999));
        assertTrue(limiter.tryAcquire(100, 10_001));
        assertTrue(!limiter.tryAcquire(601, 1e9));
    }

    @Test
    public void logsFirstFailureAfterRecoveryAtOnce() {
        RecordingEventLog log = new RecordingEventLog();
        FailureLog failureLog = new FailureLog(log, "write_failed", "write_recovered");
        reportFailuresForAMinuteThenSuccess(failureLog);
        int before = log.lines.size();
        failureLog.onFailure(60_001, "w", "full");
        failureLog.onFailure(60_002, "w", "full");
        failureLog.onSuccess("w");
        assertEquals(
                log.lines.subList(before, log.lines.size()),
                List.of("write_failed operation=w reason=full failures=1", "write_recovered operation=w failures=2"));
    }

    @Test
    public void logsRepeatedFailureOnceAMinuteAndRecoveryOnce() {
        RecordingEventLog log = new RecordingEventLog();
        reportFailuresForAMinuteThenSuccess(new FailureLog(log, "write_failed", "write_recovered"));
        assertEquals(
                log.lines,
                List.of(
                        "write_failed operation=w reason=full failures=1",
                        "write_failed operation=w reason=full failures=61",
                        "write_recovered operation=w failures=61"));
    }

    private static void reportFailuresForAMinuteThenSuccess(FailureLog failureLog) {
        for (int second = 0; second < 61; second++) {
            failureLog.onFailure(second * 1_000, "w", "full");
        }
        failureLog.onSuccess("w");
        failureLog.onSuccess("w");
    }
}
