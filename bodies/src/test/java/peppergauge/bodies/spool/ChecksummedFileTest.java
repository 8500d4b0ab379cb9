package peppergauge.bodies.spool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.bodies.InMemoryDisk;

/** Bytes read are those written, or reading fails: full disks, corrupted and missing bytes, removed directories. */
public class ChecksummedFileTest {

    private static final int CHUNK_BYTES = ChecksummedFile.CHUNK_BYTES;

    private static byte[] body(int length) {
        byte[] body = new byte[length];
        new Random(length).nextBytes(body);
        return body;
    }

    private static ChecksummedFile written(Disk disk, byte[] body, int step) throws IOException {
        ChecksummedFile file = new ChecksummedFile(disk);
        for (int at = 0; at < body.length; at += step) {
            file.append(ByteBuffer.wrap(body, at, Math.min(step, body.length - at)));
        }
        return file;
    }

    private static byte[] read(ChecksummedFile file) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < file.chunkCount(); i++) {
            ByteBuffer chunk = file.readChunk(i);
            all.write(chunk.array(), 0, chunk.remaining());
        }
        return all.toByteArray();
    }

    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {
            {0, 1},
            {1, 1},
            {CHUNK_BYTES - 1, 1_000},
            {CHUNK_BYTES, CHUNK_BYTES},
            {CHUNK_BYTES, 777},
            {CHUNK_BYTES + 1, CHUNK_BYTES},
            {5 * CHUNK_BYTES + 17, 3 * CHUNK_BYTES + 5},
            {5 * CHUNK_BYTES, 4_096}
        };
    }

    @Test(dataProvider = "lengths")
    public void readsWrittenBytesRepeatedly(int length, int step) throws IOException {
        Path directory = Files.createTempDirectory("bodies");
        try (ChecksummedFile file = written(SpoolDirectory.open(directory), body(length), step)) {
            assertEquals(read(file), body(length));
            assertEquals(read(file), body(length));
            assertEquals(file.length(), length);
            try (var names = Files.list(directory)) {
                assertEquals(names.count(), 0, "files in the directory");
            }
            // An open file remains readable without its directory.
            Files.delete(directory);
            assertEquals(read(file), body(length));
        }
    }

    /** A retry may start while the body is still being received. */
    @Test
    public void readsBodyWhileItGrows() throws IOException {
        byte[] body = body(2 * CHUNK_BYTES + 100);
        ChecksummedFile file = new ChecksummedFile(new InMemoryDisk(Long.MAX_VALUE));
        for (int at = 0; at < body.length; at += 10_000) {
            file.append(ByteBuffer.wrap(body, at, Math.min(10_000, body.length - at)));
            assertEquals(read(file), java.util.Arrays.copyOf(body, (int) file.length()));
        }
    }

    @Test
    public void corruptedByteMakesItsChunkUnreadable() throws IOException {
        byte[] body = body(2 * CHUNK_BYTES + 100);
        for (int at : new int[] {0, 1, CHUNK_BYTES - 1, CHUNK_BYTES, 2 * CHUNK_BYTES, body.length - 1}) {
            InMemoryDisk disk = new InMemoryDisk(Long.MAX_VALUE);
            ChecksummedFile file = written(disk, body, 9_999);
            disk.corruptByte(at);
            int corruptedChunk = at / CHUNK_BYTES;
            for (int i = 0; i < corruptedChunk; i++) {
                file.readChunk(i);
            }
            assertThrows(IOException.class, () -> file.readChunk(corruptedChunk));
            assertFalse(file.isIntact());
            assertThrows(IOException.class, () -> file.readChunk(0));
        }
    }

    @Test
    public void truncatedChunkIsUnreadable() throws IOException {
        InMemoryDisk disk = new InMemoryDisk(Long.MAX_VALUE);
        ChecksummedFile file = written(disk, body(CHUNK_BYTES + 10), CHUNK_BYTES);
        disk.truncate(CHUNK_BYTES + 9);
        file.readChunk(0);
        assertThrows(IOException.class, () -> file.readChunk(1));
        assertFalse(file.isIntact());
    }

    /** The disk is full at various bytes, among them each one near the end of a chunk. */
    @Test
    public void fullDiskKeepsBytesAppendedBefore() throws IOException {
        byte[] body = body(CHUNK_BYTES + 500);
        for (int freeBytes = 0;
                freeBytes < body.length;
                freeBytes += freeBytes < CHUNK_BYTES - 40 || freeBytes > CHUNK_BYTES + 40 ? 331 : 1) {
            ChecksummedFile file = new ChecksummedFile(new InMemoryDisk(freeBytes));
            IOException full = null;
            for (int at = 0; at < body.length && full == null; at += 997) {
                try {
                    file.append(ByteBuffer.wrap(body, at, Math.min(997, body.length - at)));
                } catch (IOException failed) {
                    full = failed;
                }
            }
            assertTrue(
                    full != null && file.length() <= freeBytes,
                    "file of " + file.length() + " bytes on a disk of " + freeBytes);
            assertThrows(IOException.class, () -> file.append(ByteBuffer.allocate(1)));
            assertEquals(
                    read(file),
                    java.util.Arrays.copyOf(body, (int) file.length()),
                    "bytes appended before the disk was full");
        }
    }

    @Test
    public void requiresPrivateDirectoryAndRemovesLeftoverFiles() throws IOException {
        Path directory = Files.createTempDirectory("bodies");
        Files.createFile(directory.resolve("body-left"));
        Files.createFile(directory.resolve("another"));
        SpoolDirectory.open(directory);
        assertFalse(Files.exists(directory.resolve("body-left")));
        assertTrue(Files.exists(directory.resolve("another")));
        Path link = Files.createSymbolicLink(directory.resolveSibling(directory.getFileName() + "-link"), directory);
        assertThrows(IOException.class, () -> SpoolDirectory.open(link));
        assertThrows(IOException.class, () -> SpoolDirectory.open(directory.resolve("another")));
        Files.setPosixFilePermissions(directory, PosixFilePermissions.fromString("rwxr-x---"));
        assertThrows(IOException.class, () -> SpoolDirectory.open(directory));
        Files.delete(link);
        Files.delete(directory.resolve("another"));
        Files.delete(directory);
    }

    @Test
    public void removedDirectoryCreatesNoFile() throws IOException {
        Path directory = Files.createTempDirectory("bodies");
        SpoolDirectory open = SpoolDirectory.open(directory);
        Files.delete(directory);
        assertThrows(IOException.class, () -> new ChecksummedFile(open));
    }
}
