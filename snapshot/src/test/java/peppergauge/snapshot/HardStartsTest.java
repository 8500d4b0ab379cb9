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
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.KeptSidecar;
import peppergauge.snapshot.SnapshotSettings.JournalMode;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;
import peppergauge.snapshot.storage.FaultyDisk;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.PosixFileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/** Real sidecars on real sockets: whatever is in the folder, each starts in the usual time, serves, and says why. */
public class HardStartsTest {

    private static final double USUAL_START_MS = 3_000;
    private static final String HOUR_AGO = "hour ago";

    private final List<String> lines = new CopyOnWriteArrayList<>();
    private Path root;
    private Path folder;

    @BeforeMethod
    public void make() throws IOException {
        root = Files.createTempDirectory("hard");
        folder = root.resolve("kept");
        lines.clear();
    }

    @AfterMethod
    public void clear() throws IOException {
        try (var files = Files.walk(root)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private SnapshotExtension addition(FileSystem disk, JournalMode journalMode) {
        return new SnapshotExtension(
                new SnapshotSettings(
                        folder, Duration.ofMillis(100), 4 << 20, 64 << 20, Duration.ofHours(2), journalMode, 1 << 20),
                disk,
                lines::add);
    }

    /** What a sidecar of these settings wrote, and what of it is changed. */
    private Snapshot learned(String name, String change) throws Exception {
        try (KeptSidecar before = new KeptSidecar(addition(new PosixFileSystem(), JournalMode.OFF), name)) {
            before.ask();
            before.windDown();
        }
        Snapshot whole = SnapshotFormat.decode(Files.readAllBytes(file(name)));
        lines.clear();
        long wallMs = whole.wallMs()
                + switch (change) {
                    case HOUR_AGO -> -3_600_000;
                    case "week ago" -> -7 * 86_400_000;
                    case "tomorrow" -> 86_400_000;
                    default -> 0;
                };
        return new Snapshot(
                whole.writer(),
                change.equals("other sidecar") ? "z" : whole.name(),
                change.equals("other settings") ? Samples.SETTINGS : whole.settingsDigest(),
                wallMs,
                whole.state(),
                whole.addresses());
    }

    private Path file(String name) {
        return folder.resolve(name + ".snapshot");
    }

    @DataProvider
    public Object[][] places() {
        return new Object[][] {
            {"nothing", "starts with nothing: there is no snapshot in"},
            {"fresh", "taken: the fleet, 2 classes, 0 of 1 servers; dropped: 0 started anew, 1 at another address"},
            {HOUR_AGO, "learned 60 min ago"},
            {"week ago", "it is 7 days old, more than 2 h"},
            {"tomorrow", "from the future: a clock was set back"},
            {"other sidecar", "it is of sidecar z"},
            {"other settings", "it was learned under other settings"},
            {"damaged", "a.snapshot: its checksum is wrong"},
            {"empty", "a.snapshot: it is empty"},
            {"directory", "a.snapshot: it is no plain file"},
            {"link", "a.snapshot: it is no plain file"},
            {"pipe", "a.snapshot: it is no plain file"},
            {"unreadable", "starts with"},
            {"million", "more than 4194304"},
            {"two processes", "another process uses"},
            {"open folder", "lets others in"},
            {"read-only folder", "starts with"},
            {"no folder to make", "nothing is kept"},
        };
    }

    @Test(dataProvider = "places")
    public void whateverIsThereItStartsServesAndSaysWhy(String place, String line) throws Exception {
        Snapshot learned = List.of("nothing", "no folder to make").contains(place) ? null : learned("a", place);
        Closeable other = put(place, learned);
        try (KeptSidecar sidecar = new KeptSidecar(addition(new PosixFileSystem(), JournalMode.OFF), "a")) {
            assertTrue(sidecar.startMs() < USUAL_START_MS, sidecar.startMs() + " ms");
            assertEquals(sidecar.ask(), 200);
            assertEquals(lines.stream().filter(each -> each.contains(line)).count(), 1, lines.toString());
            if (place.equals("damaged")) {
                assertTrue(lines.get(0).contains("starts with " + file("a") + ".before"), lines.get(0));
            }
        } finally {
            other.close();
        }
    }

    private Closeable put(String place, Snapshot learned) throws Exception {
        Path file = file("a");
        switch (place) {
            case "nothing" -> {}
            case "no folder to make" -> folder = folder.resolve("deeper");
            case "damaged" -> {
                byte[] bytes = Files.readAllBytes(file);
                Files.copy(
                        file, folder.resolve("a.snapshot.before"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                bytes[bytes.length / 2] ^= 1;
                Files.write(file, bytes);
            }
            case "empty" -> only(file, new byte[0]);
            case "directory" -> {
                only(file, new byte[0]);
                Files.delete(file);
                Files.createDirectory(file);
            }
            case "link" -> {
                only(file, new byte[0]);
                Files.delete(file);
                Path elsewhere = folder.resolveSibling("elsewhere");
                Files.write(elsewhere, SnapshotFormat.encode(learned));
                Files.createSymbolicLink(file, elsewhere);
            }
            case "pipe" -> {
                only(file, new byte[0]);
                Files.delete(file);
                new ProcessBuilder("mkfifo", file.toString()).start().waitFor();
            }
            case "unreadable" -> {
                only(file, SnapshotFormat.encode(learned));
                Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("---------"));
            }
            case "million" -> only(file, SnapshotFormat.encode(Samples.snapshot("a", learned.wallMs(), 1_000_000)));
            case "two processes" -> {
                SnapshotFiles other = new SnapshotFiles(new PosixFileSystem(), folder, "a");
                return other;
            }
            case "open folder" -> Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwxr-xr-x"));
            case "read-only folder" ->
                Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("r-x------"));
            default -> only(file, SnapshotFormat.encode(learned));
        }
        return () -> {};
    }

    /** In the file's place, and none before it. */
    private void only(Path file, byte[] bytes) throws IOException {
        Files.write(file, bytes);
        Files.deleteIfExists(folder.resolve("a.snapshot.before"));
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {"create"}, {"write"}, {"force"}, {"rename"}, {"force folder"}, {"lock"}, {"folder"}, {"read"}
        };
    }

    /** A disk on which one kind of operation always fails: serves, one line for many failures. */
    @Test(dataProvider = "failures")
    public void onADiskThatFailsItServesAndSaysSoOnce(String operation) throws Exception {
        FaultyDisk disk = new FaultyDisk();
        disk.fails = operation::equals;
        learned("a", "none");
        try (KeptSidecar sidecar = new KeptSidecar(addition(disk, JournalMode.WRITTEN), "a")) {
            for (int i = 0; i < 5; i++) {
                assertEquals(sidecar.ask(), 200);
                assertEquals(sidecar.give("g" + i, false), 200);
                Thread.sleep(100);
            }
            List<String> said = lines.stream()
                    .filter(line -> line.contains("No space left"))
                    .toList();
            assertTrue(said.size() >= 1 && said.size() <= 3, lines.toString());
        }
    }

    @Test
    public void whatWasLearnedIsBackAfterAStopInOrder() throws Exception {
        try (KeptSidecar sidecar = new KeptSidecar(addition(new PosixFileSystem(), JournalMode.OFF), "a")) {
            for (int i = 0; i < 20; i++) {
                sidecar.ask();
            }
            sidecar.windDown();
            sidecar.start(addition(new PosixFileSystem(), JournalMode.OFF), "a");
            assertEquals(sidecar.ask(), 200);
        }
        assertEquals(
                lines.stream()
                        .filter(line -> line.startsWith("taken: the fleet, 2 classes, 1 of 1"))
                        .count(),
                1,
                lines.toString());
    }

    @DataProvider
    public Object[][] journals() {
        return new Object[][] {{JournalMode.OFF, 2}, {JournalMode.WRITTEN, 1}, {JournalMode.FLUSHED, 1}};
    }

    /** A client whose connection broke in a crash sends its non-repeatable request once more. */
    @Test(dataProvider = "journals")
    public void aNonRepeatableRequestUnderWayAtACrashDoesNotRunTwice(JournalMode journal, int runs) throws Exception {
        try (KeptSidecar sidecar = new KeptSidecar(addition(new PosixFileSystem(), journal), "a")) {
            Thread client = new Thread(() -> {
                try {
                    sidecar.give("d", true);
                } catch (IOException | RuntimeException broke) {
                    // As the crash will have it.
                }
            });
            client.start();
            for (int i = 0; i < 200 && sidecar.timesRun("d") == 0; i++) {
                Thread.sleep(5);
            }
            sidecar.stopNow();
            client.join();
            sidecar.start(addition(new PosixFileSystem(), journal), "a");
            int status = sidecar.give("d", false);
            assertEquals(sidecar.timesRun("d"), runs);
            assertEquals(status, runs == 1 ? 502 : 200);
            assertEquals(sidecar.give("e", false), 200);
        }
    }
}
