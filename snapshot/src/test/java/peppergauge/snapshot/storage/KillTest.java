package peppergauge.snapshot.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import peppergauge.snapshot.Samples;
import peppergauge.snapshot.format.SnapshotFormat;

/** A process that writes is ended at random moments; {@code -Dkills=1000} for as many as were measured by hand. */
public class KillTest {

    private static final int KILLS = Integer.getInteger("kills", 20);
    private static final int FIRST = 1_000;

    @Test
    public void afterAKillTheNewestOrTheOneBeforeIsWhole() throws Exception {
        Path folder = Files.createTempDirectory("kill").resolve("kept");
        Random random = new Random(Long.getLong("killSeed", 5));
        long last = 0;
        for (int kill = 0; kill < KILLS; kill++) {
            Path said = Files.createTempFile("kill", ".out");
            Process child = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin/java").toString(),
                            "-XX:TieredStopAtLevel=1",
                            "-Xshare:auto",
                            "-XX:+UseSerialGC",
                            "-cp",
                            System.getProperty("java.class.path"),
                            Child.class.getName(),
                            folder.toString(),
                            Long.toString(FIRST + last))
                    .redirectOutput(said.toFile())
                    .start();
            int lines = random.nextInt(5) + 1;
            while (lines(said).size() < lines) {
                assertTrue(child.isAlive(), "the child ended by itself");
                Thread.sleep(1);
            }
            if (kill == 0) {
                assertTrue(locked(folder), "two processes shared the files");
            }
            Thread.sleep(0, random.nextInt(999_999));
            // SIGTERM, too, ends a process that writes in mid-write.
            if (kill % 10 == 9) {
                child.destroy();
            } else {
                child.destroyForcibly();
            }
            child.waitFor();
            List<String> all = lines(said);
            last = Long.parseLong(all.get(all.size() - 1)) - FIRST;
            Files.delete(said);
            last = check(folder, last);
        }
    }

    /** Those that are whole. */
    private static List<String> lines(Path said) throws Exception {
        String text = Files.readString(said);
        return text.substring(0, text.lastIndexOf('\n') + 1).lines().toList();
    }

    private static boolean locked(Path folder) {
        try {
            new SnapshotFiles(new PosixFileSystem(), folder, "a").close();
            return false;
        } catch (java.io.IOException refused) {
            return refused.getMessage().contains("another process uses");
        }
    }

    /** The number of the newest snapshot, each of which is whole; none that was reported written is lost. */
    private static long check(Path folder, long reported) throws Exception {
        try (SnapshotFiles shelf = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
            List<SnapshotFiles.Found> found = shelf.read(1 << 20);
            for (SnapshotFiles.Found each : found) {
                long wallMs = SnapshotFormat.decode(each.bytes()).wallMs();
                assertEquals(SnapshotFormat.decode(each.bytes()), Samples.snapshot("a", wallMs, 200));
            }
            long newest = SnapshotFormat.decode(found.get(0).bytes()).wallMs() - FIRST;
            assertTrue(newest >= reported, newest + " is older than " + reported);
            return newest;
        }
    }
}
