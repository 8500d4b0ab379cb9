package peppergauge.bodies.flow;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Bytes of a body in memory, in pieces, from an offset on: added behind, let go in front, read anywhere. */
final class Pieces {

    static final int SIZE = 16 * 1024;
    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final Spares spares;
    private final List<byte[]> pieces = new ArrayList<>(4);
    /** Offset in the body of the first piece's first byte; whole pieces. */
    private long start;

    private long end;

    Pieces(Spares spares) {
        this.spares = spares;
    }

    long start() {
        return start;
    }

    long end() {
        return end;
    }

    /** Takes all of it. */
    void add(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            int at = (int) (end % SIZE);
            if (at == 0) {
                pieces.add(spares.take());
            }
            int part = Math.min(bytes.remaining(), SIZE - at);
            bytes.get(pieces.get(pieces.size() - 1), at, part);
            end += part;
        }
    }

    /** What there is from there to the end of its piece; its bytes do not change until the piece is let go. */
    ByteBuffer at(long offset) {
        if (offset >= end) {
            return NOTHING;
        }
        if (offset < start) {
            throw new IllegalArgumentException("byte " + offset + " is gone");
        }
        int piece = (int) ((offset - start) / SIZE);
        long from = start + (long) piece * SIZE;
        return ByteBuffer.wrap(pieces.get(piece), (int) (offset - from), (int) (Math.min(from + SIZE, end) - offset));
    }

    /** Lets go of the pieces that end there or before; whether there were any. */
    boolean dropBefore(long offset) {
        int whole = (int) Math.min(pieces.size(), (offset - start) / SIZE);
        if (whole <= 0 || start + (long) whole * SIZE > end) {
            return false;
        }
        List<byte[]> gone = pieces.subList(0, whole);
        gone.forEach(spares::give);
        gone.clear();
        start += (long) whole * SIZE;
        return true;
    }

    /** Lets go of all; {@code used}: somebody may still read them, and they are not to be filled anew. */
    void clear(boolean used) {
        if (!used) {
            pieces.forEach(spares::give);
        }
        pieces.clear();
        start = end;
    }
}
