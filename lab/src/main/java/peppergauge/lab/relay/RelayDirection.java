package peppergauge.lab.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import peppergauge.lab.fault.FaultKind;

/** One direction of a relayed connection: a bounded buffer of what was read from one socket for the other. */
final class RelayDirection {

    /** Above this the sender is not read from, so that it sees a full socket, as with a slow network. */
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;

    private static final int READ_BYTES = 16 * 1024;
    /** A slow link forwards at most the bytes of this much time at once. */
    private static final double SLICE_SECONDS = 0.02;

    /** Bytes to be written at a time of System.nanoTime or later; no bytes stand for the end of the stream. */
    private record Segment(ByteBuffer bytes, long dueNs) {}

    private final RelayConnection connection;
    private final RelayConnection.End from;
    private final RelayConnection.End to;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private int bufferedBytes;
    private boolean ended;
    private boolean done;
    private boolean lost;
    private long wakesNs;
    /** Time of System.nanoTime before which a slow link forwards nothing more. */
    private long nextWriteNs = System.nanoTime();

    RelayDirection(RelayConnection connection, RelayConnection.End from, RelayConnection.End to) {
        this.connection = connection;
        this.from = from;
        this.to = to;
    }

    boolean acceptsInput() {
        return !ended && bufferedBytes < MAX_BUFFERED_BYTES;
    }

    /** Returns whether the end of the stream was forwarded. */
    boolean isDone() {
        return done;
    }

    boolean hasLost() {
        return lost;
    }

    /** Records that bytes were lost, so that the stream cannot go on. */
    void markLost() {
        lost = true;
    }

    /**
     * Reads available bytes. The end of the stream is noticed even while nothing is forwarded, or a client that timed
     * out would seem to wait.
     */
    void readAvailable() throws IOException {
        byte[] bytes = new byte[READ_BYTES];
        int count = from.channel().read(ByteBuffer.wrap(bytes));
        if (count > 0) {
            connection.read(this, bytes, count);
        }
        ended = count < 0;
        if (connection.loses(this) || lost) {
            lost = true;
        } else if (count != 0) {
            long dueNs = System.nanoTime() + (long) (1e6 * connection.size(FaultKind.DELAY));
            bufferedBytes += Math.max(0, count);
            segments.add(new Segment(ByteBuffer.wrap(bytes, 0, Math.max(0, count)), dueNs));
            forward();
        }
        if (ended) {
            connection.ended(this);
        }
    }

    /** Forwards what may be forwarded now. */
    void forward() {
        try {
            while (!segments.isEmpty() && to.channel().isConnected() && !connection.stalled()) {
                if (connection.loses(this)) {
                    lost = true;
                    segments.clear();
                    bufferedBytes = 0;
                    return;
                }
                Segment next = segments.peek();
                long waitNs = Math.max(next.dueNs, nextWriteNs) - System.nanoTime();
                if (waitNs > 0) {
                    wakeAfter(waitNs);
                    return;
                }
                if (!write(next.bytes)) {
                    to.updateInterest(true);
                    return;
                }
                if (!next.bytes.hasRemaining()) {
                    segments.poll();
                    from.updateInterest(false);
                }
            }
        } catch (IOException gone) {
            connection.reset();
        }
    }

    /** Sets one timer at most, since a slow link would otherwise accumulate timers. */
    private void wakeAfter(long waitNs) {
        long atNs = System.nanoTime() + waitNs;
        if (wakesNs == 0 || wakesNs - atNs > 0) {
            wakesNs = atNs;
            connection.loop().at(atNs, () -> {
                wakesNs = 0;
                forward();
            });
        }
    }

    /** Writes bytes, or the end of the stream; returns false if the socket did not accept all that was due. */
    private boolean write(ByteBuffer bytes) throws IOException {
        if (!bytes.hasRemaining()) {
            to.channel().shutdownOutput();
            done = true;
            connection.ended(this);
            return true;
        }
        double rate = connection.size(FaultKind.SLOW);
        int maxBytes = rate > 0 ? (int) Math.max(1, rate * SLICE_SECONDS) : bytes.remaining();
        ByteBuffer slice = bytes.slice();
        slice.limit(Math.min(maxBytes, slice.limit()));
        int count = to.channel().write(slice);
        nextWriteNs = rate > 0 ? System.nanoTime() + (long) (count / rate * 1e9) : nextWriteNs;
        bufferedBytes -= count;
        int at = bytes.position();
        connection.written(this, Arrays.copyOfRange(bytes.array(), at, at + count), count);
        bytes.position(at + count);
        return slice.position() == slice.limit();
    }
}
