package peppergauge.snapshot;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.PersistentSidecarFixture;
import peppergauge.snapshot.SnapshotSettings.JournalMode;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;
import peppergauge.snapshot.storage.FaultyFileSystem;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.PosixFileSystem;
import peppergauge.snapshot.storage.RecordingEventLog;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Starts real sidecars on real sockets with a damaged, foreign or unusable folder, or a failing file system. Each has
 * to start in time, serve requests, and log why nothing was restored.
 */
public class SnapshotStartupTest {

    /** Within it a journal works again once its disk does. */
    private static final long RECOVERY_MS = 1_000;

    private static final double MAX_START_MS = 3_000;
    private static final String HOUR_AGO = "hour ago";
    /** Either event is right, since root can read and write whatever the permissions are. */
    private static final String SELECTED_OR_NOT = "snapshot_selected |snapshot_not_restored ";

    private RecordingEventLog log;
    private Path root;
    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        root = Files.createTempDirectory("startup");
        folder = root.resolve("state");
        log = new RecordingEventLog();
    }

    @AfterMethod
    public void deleteFolder() throws IOException {
        try (var files = Files.walk(root)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private SnapshotExtension extension(FileSystem fileSystem, JournalMode journalMode) {
        return new SnapshotExtension(
                new SnapshotSettings(
                        folder, Duration.ofMillis(100), 4 << 20, 64 << 20, Duration.ofHours(2), journalMode, 1 << 20),
                fileSystem,
                log);
    }

    /** Lets a sidecar write a snapshot, and returns it with one change. */
    private Snapshot changedSnapshot(String name, String change) throws Exception {
        try (PersistentSidecarFixture sidecar =
                new PersistentSidecarFixture(extension(new PosixFileSystem(), JournalMode.OFF), name)) {
            sidecar.sendIdempotent();
            sidecar.shutDownGracefully();
        }
        Snapshot written = SnapshotFormat.decode(Files.readAllBytes(file(name)));
        log.lines.clear();
        long wallMs = written.wallMs()
                + switch (change) {
                    case HOUR_AGO -> -3_600_000;
                    case "week ago" -> -7 * 86_400_000;
                    case "tomorrow" -> 86_400_000;
                    default -> 0;
                };
        return new Snapshot(
                written.writer(),
                change.equals("other sidecar") ? "z" : written.name(),
                change.equals("other settings") ? SampleSnapshots.SETTINGS : written.settingsDigest(),
                wallMs,
                written.state(),
                written.addresses());
    }

    private Path file(String name) {
        return folder.resolve(name + ".snapshot");
    }

    @DataProvider
    public Object[][] folderStates() {
        return new Object[][] {
            {"nothing", "snapshot_not_restored reason=the folder has no snapshot"},
            {"fresh", "snapshot_restored classes=2 servers=1 restored=0 restarted=0 moved=1 not_listed="},
            {HOUR_AGO, "reason=learned 60 min ago"},
            {"week ago", "it is 7 days old, the maximum age is 2 h"},
            {"tomorrow", "in the future: a clock was set back"},
            {"other sidecar", "it belongs to sidecar z"},
            {"other settings", "it was learned with different settings"},
            {"damaged", "a.snapshot: its checksum does not match"},
            {"empty", "a.snapshot: it is empty"},
            {"directory", "a.snapshot: it is not a regular file"},
            {"link", "a.snapshot: it is not a regular file"},
            {"pipe", "a.snapshot: it is not a regular file"},
            {"unreadable", SELECTED_OR_NOT},
            {"million", "more than the limit of 4194304"},
            {"two processes", "another process uses"},
            {"open folder", "is accessible to other users, its permissions must be 0700"},
            {"read-only folder", SELECTED_OR_NOT},
            {"missing parent", "snapshot_folder_unusable"},
        };
    }

    @Test(dataProvider = "folderStates")
    public void startsServesAndLogsReasonForAnyFolderState(String state, String expected) throws Exception {
        Snapshot snapshot = List.of("nothing", "missing parent").contains(state) ? null : changedSnapshot("a", state);
        Closeable lockHolder = prepareFolder(state, snapshot);
        try (PersistentSidecarFixture sidecar =
                new PersistentSidecarFixture(extension(new PosixFileSystem(), JournalMode.OFF), "a")) {
            assertTrue(sidecar.startMs() < MAX_START_MS, "started in " + sidecar.startMs() + " ms");
            assertEquals(sidecar.sendIdempotent(), 200);
            long matches =
                    Stream.of(expected.split("\\|")).mapToLong(log::count).sum();
            assertEquals(matches, 1, expected + " expected once in " + log.lines);
            if (state.equals("damaged")) {
                String first = log.lines.get(0);
                assertTrue(first.contains("snapshot_selected file=" + file("a") + ".before"), first);
            }
        } finally {
            lockHolder.close();
        }
    }

    private Closeable prepareFolder(String state, Snapshot snapshot) throws Exception {
        Path file = file("a");
        switch (state) {
            case "nothing" -> {}
            case "missing parent" -> folder = folder.resolve("deeper");
            case "damaged" -> {
                byte[] bytes = Files.readAllBytes(file);
                Files.copy(
                        file, folder.resolve("a.snapshot.before"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                bytes[bytes.length / 2] ^= 1;
                Files.write(file, bytes);
            }
            case "empty" -> writeOnly(file, new byte[0]);
            case "directory" -> {
                writeOnly(file, new byte[0]);
                Files.delete(file);
                Files.createDirectory(file);
            }
            case "link" -> {
                writeOnly(file, new byte[0]);
                Files.delete(file);
                Path elsewhere = folder.resolveSibling("elsewhere");
                Files.write(elsewhere, SnapshotFormat.encode(snapshot));
                Files.createSymbolicLink(file, elsewhere);
            }
            case "pipe" -> {
                writeOnly(file, new byte[0]);
                Files.delete(file);
                new ProcessBuilder("mkfifo", file.toString()).start().waitFor();
            }
            case "unreadable" -> {
                writeOnly(file, SnapshotFormat.encode(snapshot));
                Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("---------"));
            }
            case "million" ->
                writeOnly(file, SnapshotFormat.encode(SampleSnapshots.snapshot("a", snapshot.wallMs(), 1_000_000)));
            case "two processes" -> {
                return new SnapshotFiles(new PosixFileSystem(), folder, "a");
            }
            case "open folder" -> Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwxr-xr-x"));
            case "read-only folder" ->
                Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("r-x------"));
            default -> writeOnly(file, SnapshotFormat.encode(snapshot));
        }
        return () -> {};
    }

    /** Writes the newest snapshot file and deletes the previous one. */
    private void writeOnly(Path file, byte[] bytes) throws IOException {
        Files.write(file, bytes);
        Files.deleteIfExists(folder.resolve("a.snapshot.before"));
    }

    @DataProvider
    public Object[][] failingOperations() {
        return new Object[][] {
            {"create"}, {"write"}, {"force"}, {"rename"}, {"force folder"}, {"lock"}, {"folder"}, {"read"}
        };
    }

    /**
     * One kind of file operation always fails: the sidecar has to serve, and to log many failures as few events. A
     * non-repeatable request that cannot be recorded is rejected without having been sent.
     */
    @Test(dataProvider = "failingOperations")
    public void servesAndLogsFailureOnceOnFailingDisk(String operation) throws Exception {
        FaultyFileSystem fileSystem = new FaultyFileSystem();
        fileSystem.failure = operation::equals;
        changedSnapshot("a", "none");
        try (PersistentSidecarFixture sidecar =
                new PersistentSidecarFixture(extension(fileSystem, JournalMode.WRITTEN), "a")) {
            for (int i = 0; i < 5; i++) {
                assertEquals(sidecar.sendIdempotent(), 200);
                assertEquals(sidecar.sendNonIdempotent("g" + i, false), 503);
                assertEquals(sidecar.executions("g" + i), 0);
                Thread.sleep(100);
            }
            long logged = log.count("No space left");
            assertTrue(logged >= 1 && logged <= 3, "1 to 3 failures expected in " + log.lines);
        }
    }

    @DataProvider
    public Object[][] failuresAtTheStart() {
        return new Object[][] {{"lock"}, {"folder"}, {"read"}};
    }

    /** A sidecar that could not open or read its journal at the start ran what was in flight before again. */
    @Test(dataProvider = "failuresAtTheStart")
    public void runsNoNonRepeatableRequestTwiceIfTheJournalCannotBeOpened(String operation) throws Exception {
        FaultyFileSystem fileSystem = new FaultyFileSystem();
        try (PersistentSidecarFixture sidecar =
                new PersistentSidecarFixture(extension(fileSystem, JournalMode.FLUSHED), "a")) {
            assertEquals(sidecar.sendNonIdempotent("d", false), 200);
            sidecar.stopAbruptly();
            fileSystem.failure = operation::equals;
            sidecar.start(extension(fileSystem, JournalMode.FLUSHED), "a");
            assertEquals(sidecar.sendNonIdempotent("d", false), 503);
            assertEquals(sidecar.sendNonIdempotent("other", false), 503);
            fileSystem.failure = none -> false;
            Thread.sleep(RECOVERY_MS);
            assertEquals(sidecar.sendNonIdempotent("d", false), 502);
            assertEquals(sidecar.sendNonIdempotent("new", false), 200);
            assertEquals(sidecar.executions("d") + sidecar.executions("other"), 1);
        }
    }

    @Test
    public void restoresLearnedStateAfterGracefulShutdown() throws Exception {
        try (PersistentSidecarFixture sidecar =
                new PersistentSidecarFixture(extension(new PosixFileSystem(), JournalMode.OFF), "a")) {
            for (int i = 0; i < 20; i++) {
                sidecar.sendIdempotent();
            }
            sidecar.shutDownGracefully();
            sidecar.start(extension(new PosixFileSystem(), JournalMode.OFF), "a");
            assertEquals(sidecar.sendIdempotent(), 200);
        }
        String expected = "snapshot_restored classes=2 servers=1 restored=1 ";
        assertEquals(
                log.lines.stream().filter(line -> line.startsWith(expected)).count(),
                1,
                expected + "expected once in " + log.lines);
    }

    @DataProvider
    public Object[][] journals() {
        return new Object[][] {{JournalMode.OFF, 2}, {JournalMode.WRITTEN, 1}, {JournalMode.FLUSHED, 1}};
    }

    /** A client whose connection broke in a crash repeats its non-repeatable request. */
    @Test(dataProvider = "journals")
    public void journalKeepsRequestInFlightAtCrashFromRunningTwice(JournalMode journal, int expectedRuns)
            throws Exception {
        try (PersistentSidecarFixture sidecar =
                new PersistentSidecarFixture(extension(new PosixFileSystem(), journal), "a")) {
            Thread client = new Thread(() -> {
                try {
                    sidecar.sendNonIdempotent("d", true);
                } catch (IOException | RuntimeException aborted) {
                    // The crash of the sidecar breaks the connection.
                }
            });
            client.start();
            for (int i = 0; i < 200 && sidecar.executions("d") == 0; i++) {
                Thread.sleep(5);
            }
            sidecar.stopAbruptly();
            client.join();
            sidecar.start(extension(new PosixFileSystem(), journal), "a");
            int status = sidecar.sendNonIdempotent("d", false);
            assertEquals(sidecar.executions("d"), expectedRuns);
            assertEquals(status, expectedRuns == 1 ? 502 : 200);
            assertEquals(sidecar.sendNonIdempotent("e", false), 200);
        }
    }
}
