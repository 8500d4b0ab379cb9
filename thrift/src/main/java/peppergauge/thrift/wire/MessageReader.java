package peppergauge.thrift.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Takes a connection's bytes in as they come and hands whole messages out. It holds one message and one read at the
 * most, and nothing between messages.
 */
public final class MessageReader {

    private static final byte[] NOTHING = {};
    private static final int LEAST_ROOM = 256;

    private final Bounds bounds;
    private Form form;
    private byte[] held = NOTHING;
    private int from;
    private int to;
    private long taken;
    private Scanner scanner;
    /** Of the message that is being read, without its head; -1 if none is, or it has no frame. */
    private int frame = -1;

    /** {@code form}: null if it is to be recognised from the first bytes. */
    public MessageReader(Form form, Bounds bounds) {
        this.form = form;
        this.bounds = bounds;
    }

    /** Null until it is known. */
    public Form form() {
        return form;
    }

    /** Whether part of a message is here, or whole ones that were not asked for yet. */
    public boolean begun() {
        return to > from;
    }

    /** Bytes that came in, since the beginning. */
    public long taken() {
        return taken;
    }

    /** Of the message that is being read, or that was malformed; null if it is not known. */
    public Head head() {
        return scanner == null ? null : scanner.head();
    }

    public void feed(ByteBuffer bytes) {
        int more = bytes.remaining();
        if (held.length - to < more) {
            int there = to - from;
            byte[] room = there + more <= held.length
                    ? held
                    : new byte[Math.max(LEAST_ROOM, Math.min(2 * there, there + bounds.longestMessage()) + more)];
            System.arraycopy(held, from, room, 0, there);
            held = room;
            from = 0;
            to = there;
        }
        bytes.get(held, to, more);
        to += more;
        taken += more;
    }

    /** The next message; null if it is not whole yet. After {@link Malformed} nothing more can be made of the input. */
    public RawMessage next() throws Malformed {
        if (form == null) {
            form = Form.recognise(held, from, to - from);
        }
        if (form == null || to == from || !begin()) {
            return null;
        }
        boolean whole = scanner.advance(held, from, to - from);
        if (frame > bounds.longestMessage() && scanner.head() != null) {
            // Only now, so that it can be told whose message it is.
            throw new Malformed("a frame over " + bounds.longestMessage() + " bytes");
        }
        if (!whole) {
            return null;
        }
        if (frame >= 0 && scanner.at() != frame) {
            throw new Malformed("a frame that holds more than one message");
        }
        RawMessage message =
                new RawMessage(form.encoding(), scanner.head(), Arrays.copyOfRange(held, from, from + scanner.at()));
        from += scanner.at();
        scanner = null;
        frame = -1;
        if (from == to) {
            held = NOTHING;
            from = 0;
            to = 0;
        }
        return message;
    }

    /** Whether the message's first bytes are here; in a frame, whether its head is. */
    private boolean begin() throws Malformed {
        if (scanner != null) {
            return true;
        }
        if (!form.framed()) {
            scanner = new Scanner(form.encoding(), bounds.longestMessage(), bounds.deepest());
            return true;
        }
        if (to - from < Form.FRAME_HEAD) {
            return false;
        }
        frame = ByteBuffer.wrap(held, from, Form.FRAME_HEAD).getInt();
        if (frame <= 0) {
            throw new Malformed("a frame of no length");
        }
        from += Form.FRAME_HEAD;
        scanner = new Scanner(form.encoding(), Math.min(frame, bounds.longestMessage()), bounds.deepest());
        return true;
    }
}
