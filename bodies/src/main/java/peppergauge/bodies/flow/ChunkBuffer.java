package peppergauge.bodies.flow;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A contiguous range of a body's bytes in memory, stored in chunks: bytes are appended at its end, whole chunks are
 * dropped at its start. Not thread-safe, but the bytes of a returned buffer may be read by another thread.
 */
final class ChunkBuffer {

    static final int CHUNK_BYTES = 16 * 1024;
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private final ChunkPool pool;
    private final List<byte[]> chunks = new ArrayList<>(4);
    /** The offset of the first chunk in the body, a multiple of the chunk size. */
    private long start;

    private long end;

    ChunkBuffer(ChunkPool pool) {
        this.pool = pool;
    }

    /** The offset in the body of the first byte that is stored. */
    long start() {
        return start;
    }

    /** The offset in the body behind the last byte that is stored. */
    long end() {
        return end;
    }

    /** Copies all bytes of the given buffer. */
    void append(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            int offsetInChunk = (int) (end % CHUNK_BYTES);
            if (offsetInChunk == 0) {
                chunks.add(pool.acquire());
            }
            int copied = Math.min(bytes.remaining(), CHUNK_BYTES - offsetInChunk);
            bytes.get(chunks.get(chunks.size() - 1), offsetInChunk, copied);
            end += copied;
        }
    }

    /**
     * The bytes from an offset to the end of its chunk, empty at the end of the buffer. They don't change until the
     * chunk is dropped.
     *
     * @throws IllegalArgumentException if the byte at the offset was dropped
     */
    ByteBuffer bytesFrom(long offset) {
        if (offset >= end) {
            return EMPTY;
        }
        if (offset < start) {
            throw new IllegalArgumentException("byte " + offset + " was dropped; the buffer starts at " + start);
        }
        int index = (int) ((offset - start) / CHUNK_BYTES);
        long chunkStart = start + (long) index * CHUNK_BYTES;
        int length = (int) (Math.min(chunkStart + CHUNK_BYTES, end) - offset);
        return ByteBuffer.wrap(chunks.get(index), (int) (offset - chunkStart), length);
    }

    /** Drops the chunks that end at the offset or before it. */
    void dropBefore(long offset) {
        int count = (int) Math.min(chunks.size(), (offset - start) / CHUNK_BYTES);
        if (count <= 0 || start + (long) count * CHUNK_BYTES > end) {
            return;
        }
        List<byte[]> dropped = chunks.subList(0, count);
        dropped.forEach(pool::release);
        dropped.clear();
        start += (long) count * CHUNK_BYTES;
    }

    /**
     * Drops all chunks.
     *
     * @param inUse whether another thread may still read them, so that they must not be reused
     */
    void clear(boolean inUse) {
        if (!inUse) {
            chunks.forEach(pool::release);
        }
        chunks.clear();
        start = end;
    }
}
