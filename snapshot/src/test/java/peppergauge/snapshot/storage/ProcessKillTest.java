package peppergauge.snapshot.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import peppergauge.snapshot.SampleSnapshots;
import peppergauge.snapshot.format.SnapshotFormat;

/** Ends a process that writes snapshots at random moments. {@code -Dkills=1000} sets the number of kills. */
public class ProcessKillTest {

    private static final int KILLS = Integer.getInteger("kills", 20);
    private static final int FIRST = 1_000;

    @Test
    public void snapshotIsValidAndNotOlderThanReportedAfterKill() throws Exception {
        Path folder = Files.createTempDirectory("kill").resolve("state");
        Random random = new Random(Long.getLong("killSeed", 5));
        long last = 0;
        for (int kill = 0; kill < KILLS; kill++) {
            Path output = Files.createTempFile("kill", ".out");
            Process child = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin/java").toString(),
                            "-XX:TieredStopAtLevel=1",
                            "-Xshare:auto",
                            "-XX:+UseSerialGC",
                            "-cp",
                            System.getProperty("java.class.path"),
                            SnapshotWriterProcess.class.getName(),
                            folder.toString(),
                            Long.toString(FIRST + last))
                    .redirectOutput(output.toFile())
                    .start();
            int lines = random.nextInt(5) + 1;
            while (wholeLines(output).size() < lines) {
                assertTrue(child.isAlive(), "the process must run until it is killed");
                Thread.sleep(1);
            }
            if (kill == 0) {
                assertTrue(isLocked(folder), "the files must be locked while a process writes them");
            }
            Thread.sleep(0, random.nextInt(999_999));
            // SIGTERM also ends the process in the middle of a write.
            if (kill % 10 == 9) {
                child.destroy();
            } else {
                child.destroyForcibly();
            }
            child.waitFor();
            List<String> numbers = wholeLines(output);
            last = Long.parseLong(numbers.get(numbers.size() - 1)) - FIRST;
            Files.delete(output);
            last = verifiedNewest(folder, last);
        }
    }

    /** Returns the lines that are complete. */
    private static List<String> wholeLines(Path output) throws Exception {
        String text = Files.readString(output);
        return text.substring(0, text.lastIndexOf('\n') + 1).lines().toList();
    }

    private static boolean isLocked(Path folder) {
        try {
            new SnapshotFiles(new PosixFileSystem(), folder, "a").close();
            return false;
        } catch (java.io.IOException refused) {
            return refused.getMessage().contains("another process uses");
        }
    }

    /** Verifies all snapshots, and returns the number of the newest, which must not be older than the reported one. */
    private static long verifiedNewest(Path folder, long reported) throws Exception {
        try (SnapshotFiles files = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
            List<SnapshotFiles.Found> found = files.read(1 << 20);
            for (SnapshotFiles.Found each : found) {
                long wallMs = SnapshotFormat.decode(each.bytes()).wallMs();
                assertEquals(SnapshotFormat.decode(each.bytes()), SampleSnapshots.snapshot("a", wallMs, 200));
            }
            long newest = SnapshotFormat.decode(found.get(0).bytes()).wallMs() - FIRST;
            assertTrue(newest >= reported, newest + " must not be older than " + reported);
            return newest;
        }
    }
}
