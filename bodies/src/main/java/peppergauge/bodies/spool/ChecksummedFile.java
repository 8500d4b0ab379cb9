package peppergauge.bodies.spool;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * A body in a file. The checksum of each chunk of {@link #CHUNK_BYTES} is held in memory, and no byte of a chunk is
 * returned before the complete chunk matches it, so that no overwritten, truncated or missing bytes reach a server, and
 * no part of a damaged chunk does. Takes 4 bytes of memory per chunk, and a chunk while it is read. Not thread-safe.
 */
public final class ChecksummedFile implements Closeable {

    /** Bytes of a chunk; the last one of a body may be shorter. */
    public static final int CHUNK_BYTES = 16 * 1024;

    private final Disk.OpenFile file;
    /** Of the last chunk while it is incomplete. */
    private final CRC32C checksum = new CRC32C();
    /** Of each complete chunk. */
    private int[] checksums = new int[4];

    private int completeChunks;
    private long length;
    private boolean full;
    private boolean closedOrDamaged;

    /** @throws IOException if no file can be created */
    public ChecksummedFile(Disk disk) throws IOException {
        file = disk.create();
    }

    public long length() {
        return length;
    }

    /** Whether the file is open and no read has found damage. */
    public boolean isIntact() {
        return !closedOrDamaged;
    }

    /**
     * Appends bytes of the body.
     *
     * @throws IOException if not all can be written, as on a full disk. The file accepts no more from then on: bytes
     *     appended before remain readable, and none of these are
     */
    public void append(ByteBuffer bytes) throws IOException {
        requireIntact();
        if (full) {
            throw new IOException("the file accepts no more bytes after a failed write");
        }
        ByteBuffer unsummed = bytes.duplicate();
        try {
            file.append(bytes);
        } catch (IOException failure) {
            full = true;
            throw failure;
        }
        while (unsummed.hasRemaining()) {
            int restOfChunk = (int) (CHUNK_BYTES - length % CHUNK_BYTES);
            ByteBuffer part = unsummed.slice(unsummed.position(), Math.min(restOfChunk, unsummed.remaining()));
            unsummed.position(unsummed.position() + part.remaining());
            length += part.remaining();
            checksum.update(part);
            if (length % CHUNK_BYTES == 0) {
                checksums =
                        completeChunks == checksums.length ? Arrays.copyOf(checksums, 2 * completeChunks) : checksums;
                checksums[completeChunks++] = (int) checksum.getValue();
                checksum.reset();
            }
        }
    }

    /** The number of chunks that can be read, an incomplete one included. */
    public int chunkCount() {
        return (int) ((length + CHUNK_BYTES - 1) / CHUNK_BYTES);
    }

    /**
     * Reads a chunk and verifies its checksum.
     *
     * @throws IOException if it cannot be read or its checksum does not match; nothing can be read from then on
     */
    public ByteBuffer readChunk(int index) throws IOException {
        requireIntact();
        long position = (long) index * CHUNK_BYTES;
        if (index < 0 || position >= length) {
            throw new IllegalArgumentException("chunk " + index + " does not exist; chunks: " + chunkCount());
        }
        ByteBuffer chunk = ByteBuffer.allocate((int) Math.min(CHUNK_BYTES, length - position));
        try {
            file.read(position, chunk);
        } catch (IOException failure) {
            closedOrDamaged = true;
            throw failure;
        }
        CRC32C actual = new CRC32C();
        actual.update(chunk.flip());
        int expected = index < completeChunks ? checksums[index] : (int) checksum.getValue();
        if ((int) actual.getValue() != expected) {
            closedOrDamaged = true;
            throw new IOException("checksum of chunk " + index + " is " + Integer.toHexString((int) actual.getValue())
                    + ", expected " + Integer.toHexString(expected));
        }
        return chunk.rewind();
    }

    private void requireIntact() throws IOException {
        if (closedOrDamaged) {
            throw new IOException("the file is closed or damaged");
        }
    }

    @Override
    public void close() throws IOException {
        closedOrDamaged = true;
        file.close();
    }
}
