package peppergauge.bodies.spool;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * One body in a file. Each piece of {@link #PIECE} bytes has a checksum in memory, and no byte of a piece is handed out
 * before the whole piece agrees with it: what another wrote over, cut short or never wrote is not sent to a server,
 * not even its beginning. Costs 4 bytes of memory for 16 KiB, and a piece while it is read. One thread at a time.
 */
public final class KeptFile implements Closeable {

    /** Bytes of a piece; the last one of a body is shorter. */
    public static final int PIECE = 16 * 1024;

    private final Disk.Place place;
    private final CRC32C sum = new CRC32C();
    /** Of each whole piece. */
    private int[] sums = new int[4];

    private int pieces;
    private long length;
    private boolean full;
    private boolean broken;

    /** @throws IOException if no file can be had */
    public KeptFile(Disk disk) throws IOException {
        place = disk.create();
    }

    public long length() {
        return length;
    }

    /** Whether what was written can be read: no read found anything else. */
    public boolean isSound() {
        return !broken;
    }

    /**
     * Takes what comes next of the body.
     *
     * @throws IOException if it cannot be written in whole (a full disk): the file takes no more from then on; what was
     *     taken before can be read, and nothing of these bytes
     */
    public void append(ByteBuffer bytes) throws IOException {
        require();
        if (full) {
            throw new IOException("the file takes no more");
        }
        ByteBuffer summed = bytes.duplicate();
        try {
            place.append(bytes);
        } catch (IOException failed) {
            full = true;
            throw failed;
        }
        while (summed.hasRemaining()) {
            int room = (int) (PIECE - length % PIECE);
            ByteBuffer part = summed.slice(summed.position(), Math.min(room, summed.remaining()));
            summed.position(summed.position() + part.remaining());
            length += part.remaining();
            sum.update(part);
            if (length % PIECE == 0) {
                sums = pieces == sums.length ? Arrays.copyOf(sums, 2 * pieces) : sums;
                sums[pieces++] = (int) sum.getValue();
                sum.reset();
            }
        }
    }

    /** How many pieces there are to read. */
    public int pieces() {
        return (int) ((length + PIECE - 1) / PIECE);
    }

    /**
     * Reads a piece, whole and checked.
     *
     * @throws IOException if it cannot be read or is not what was written; the body is not kept from then on
     */
    public ByteBuffer piece(int number) throws IOException {
        require();
        long at = (long) number * PIECE;
        if (number < 0 || at >= length) {
            throw new IllegalArgumentException("piece " + number + " of " + pieces());
        }
        ByteBuffer piece = ByteBuffer.allocate((int) Math.min(PIECE, length - at));
        try {
            place.read(at, piece);
        } catch (IOException failed) {
            broken = true;
            throw failed;
        }
        CRC32C found = new CRC32C();
        found.update(piece.flip());
        // The sum of a piece that is still growing is the running one.
        if ((int) found.getValue() != (number < pieces ? sums[number] : (int) sum.getValue())) {
            broken = true;
            throw new IOException("piece " + number + " is not what was written");
        }
        return piece.rewind();
    }

    private void require() throws IOException {
        if (broken) {
            throw new IOException("the body is not kept any more");
        }
    }

    @Override
    public void close() throws IOException {
        broken = true;
        place.close();
    }
}
