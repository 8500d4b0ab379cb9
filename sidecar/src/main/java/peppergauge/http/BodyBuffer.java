package peppergauge.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects a body in memory: in an array of its length if that is announced, else in one that doubles. Not thread-safe.
 */
public final class BodyBuffer {

    private static final byte[] EMPTY = new byte[0];
    private static final int MIN_CAPACITY_BYTES = 1024;

    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int size;
    /** Length that is announced; -1 if unknown. */
    private long announcedLength = -1;

    /** Creates an empty buffer for bodies of {@code maxBytes} at most. */
    public BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sets the announced length of the body; -1 if unknown. Allocates nothing. */
    public void expectLength(long length) {
        announcedLength = length;
    }

    /** Whether this many more bytes fit into the maximum. */
    public boolean accepts(int more) {
        return size + more <= maxBytes;
    }

    /** Number of bytes by which the array grows if this many more bytes, which are accepted, are written. */
    public int growthFor(int more) {
        return capacityFor(size + more) - bytes.length;
    }

    private int capacityFor(int needed) {
        if (needed <= bytes.length) {
            return bytes.length;
        }
        if (needed <= announcedLength && announcedLength <= maxBytes) {
            return (int) announcedLength;
        }
        int doubled = Math.max(MIN_CAPACITY_BYTES, 2 * bytes.length);
        return Math.max(needed, Math.min(maxBytes, doubled));
    }

    /** Appends the remaining bytes of {@code part}, which are accepted. */
    public void write(ByteBuffer part) {
        int more = part.remaining();
        int capacity = capacityFor(size + more);
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacity);
        }
        part.get(bytes, size, more);
        size += more;
    }

    /** Returns the body and empties this buffer; the array is copied only if it is longer than the body. */
    public byte[] take() {
        byte[] body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        clear();
        return body;
    }

    /** Drops what has been collected. */
    public void clear() {
        bytes = EMPTY;
        size = 0;
    }
}
