package peppergauge.lab.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import peppergauge.lab.fault.FaultKind;

/** One direction of a connection: what was read here and is still to be written there. */
final class Way {

    /** From here on the sender is not read from: it meets a full socket, as behind a slow network. */
    private static final int MOST = 1024 * 1024;

    private static final int PIECE = 16 * 1024;
    /** A slow link lets so much through at a time, seconds. */
    private static final double SLICE = 0.02;

    /** Bytes, or the end of the stream where there are none. */
    private record Piece(ByteBuffer bytes, long dueNs) {}

    private final Flow flow;
    private final Flow.End from;
    private final Flow.End to;
    private final Deque<Piece> pieces = new ArrayDeque<>();
    private int held;
    private boolean ended;
    private boolean done;
    private boolean lost;
    private long wakesNs;
    /** Before this a slow link lets nothing more through. */
    private long freeNs = System.nanoTime();

    Way(Flow flow, Flow.End from, Flow.End to) {
        this.flow = flow;
        this.from = from;
        this.to = to;
    }

    boolean takes() {
        return !ended && held < MOST;
    }

    /** Whether the end of the stream was passed on. */
    boolean isDone() {
        return done;
    }

    boolean hasLost() {
        return lost;
    }

    /** Something that was sent never arrives. */
    void lost() {
        lost = true;
    }

    /** Reads what is there. An end is seen even where nothing passes: else a caller that gave up would seem to wait. */
    void fill() throws IOException {
        byte[] bytes = new byte[PIECE];
        int count = from.channel().read(ByteBuffer.wrap(bytes));
        if (count > 0) {
            flow.read(this, bytes, count);
        }
        ended = count < 0;
        if (flow.loses(this) || lost) {
            lost = true;
        } else if (count != 0) {
            long dueNs = System.nanoTime() + (long) (1e6 * flow.size(FaultKind.DELAY));
            held += Math.max(0, count);
            pieces.add(new Piece(ByteBuffer.wrap(bytes, 0, Math.max(0, count)), dueNs));
            pass();
        }
        if (ended) {
            flow.ended(this);
        }
    }

    /** Passes on what may go now. */
    void pass() {
        try {
            while (!pieces.isEmpty() && to.channel().isConnected() && !flow.stalled()) {
                if (flow.loses(this)) {
                    lost = true;
                    pieces.clear();
                    held = 0;
                    return;
                }
                Piece next = pieces.peek();
                long waitNs = Math.max(next.dueNs, freeNs) - System.nanoTime();
                if (waitNs > 0) {
                    wakeIn(waitNs);
                    return;
                }
                if (!write(next.bytes)) {
                    to.wants(true);
                    return;
                }
                if (!next.bytes.hasRemaining()) {
                    pieces.poll();
                    from.wants(false);
                }
            }
        } catch (IOException gone) {
            flow.reset();
        }
    }

    /** One timer at a time: a slow link would else be a crowd of them. */
    private void wakeIn(long waitNs) {
        long atNs = System.nanoTime() + waitNs;
        if (wakesNs == 0 || wakesNs - atNs > 0) {
            wakesNs = atNs;
            flow.loop().at(atNs, () -> {
                wakesNs = 0;
                pass();
            });
        }
    }

    /** False if the socket did not take what it was to take. */
    private boolean write(ByteBuffer bytes) throws IOException {
        if (!bytes.hasRemaining()) {
            to.channel().shutdownOutput();
            done = true;
            flow.ended(this);
            return true;
        }
        double rate = flow.size(FaultKind.SLOW);
        int most = rate > 0 ? (int) Math.max(1, rate * SLICE) : bytes.remaining();
        ByteBuffer slice = bytes.slice();
        slice.limit(Math.min(most, slice.limit()));
        int count = to.channel().write(slice);
        freeNs = rate > 0 ? System.nanoTime() + (long) (count / rate * 1e9) : freeNs;
        held -= count;
        int at = bytes.position();
        flow.written(this, Arrays.copyOfRange(bytes.array(), at, at + count), count);
        bytes.position(at + count);
        return slice.position() == slice.limit();
    }
}
