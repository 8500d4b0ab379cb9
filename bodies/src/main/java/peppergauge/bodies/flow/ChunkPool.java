package peppergauge.bodies.flow;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A pool of idle chunks of memory. A chunk stays in use for as long as a slow reader takes, so that new ones would be
 * promoted to the old generation: with 50 readers, a 24 MB heap had a full collection of 20 ms every second. Not
 * thread-safe.
 */
final class ChunkPool {

    private final Deque<byte[]> idle = new ArrayDeque<>();
    private final int maxIdleChunks;

    ChunkPool(long maxIdleBytes) {
        maxIdleChunks = (int) Math.min(Integer.MAX_VALUE, maxIdleBytes / ChunkBuffer.CHUNK_BYTES);
    }

    byte[] acquire() {
        byte[] chunk = idle.pollLast();
        return chunk == null ? new byte[ChunkBuffer.CHUNK_BYTES] : chunk;
    }

    /** Returns a chunk that nothing refers to any more. */
    void release(byte[] chunk) {
        if (idle.size() < maxIdleChunks) {
            idle.addLast(chunk);
        }
    }
}
