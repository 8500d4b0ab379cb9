package peppergauge.bodies.flow;

import java.io.IOException;
import java.nio.ByteBuffer;
import peppergauge.bodies.limits.Pace;
import peppergauge.request.BodyStream;
import peppergauge.request.BodyWriter;
import peppergauge.request.Scheduler;

/**
 * A body between its two ends: what both kinds have in common. The sender has so much room as a window leaves, and a
 * side that has stopped in its turn ends the flow.
 */
abstract class Passage implements BodyWriter, BodyStream {

    /** Looks at the pace so often in its window. */
    private static final int LOOKS = 4;

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    final Shared shared;
    private final long length;
    private final long most;
    private final BodyWriter.Producer sender;
    private final Pace from;
    private final Pieces pieces;
    private Scheduler.ScheduledTask look;
    private Listener watcher = new Listener() {};
    private boolean committed;
    private Turn turn;
    private boolean whole;
    private End over;

    /**
     * @param length in bytes, -1 if its end tells
     * @param most bytes that it may have
     */
    Passage(Shared shared, long length, long most, BodyWriter.Producer sender) {
        this.shared = shared;
        this.length = length;
        this.most = most;
        this.sender = sender;
        from = shared.pace();
        pieces = new Pieces(shared.spares());
    }

    /** To be called once all of the subclass is there. */
    void begin() {
        shared.windows().open();
        lookLater();
        turns();
    }

    // ---- What the two kinds differ in ----

    /** So many bytes more are in {@link #pieces}. */
    abstract void stored(int bytes);

    /** All of it has come. */
    void onInputComplete() {}

    /** Bytes from there on that can be passed on now, in memory; none yet if empty. */
    ByteBuffer at(long offset) {
        return pieces.at(offset);
    }

    /** All before this was passed on. */
    abstract void passed(long offset);

    /** The reader has had every byte; whether the flow is over with that. */
    abstract boolean allPassed();

    /** A reader stopped before that; whether the flow is over with it. */
    abstract boolean stopped();

    /** Bytes that the sender may send now. */
    int room() {
        return (int) Math.max(0, shared.windows().share() - (pieces.end() - pieces.start()));
    }

    /** Its sender was too slow. */
    abstract void senderSlow();

    /** It is longer than any may be. */
    abstract void tooLong();

    /** Whether others than this thread may still read what is in memory. */
    boolean handedOut() {
        return false;
    }

    /** It is over: all that is held for it goes. */
    void freeStorage() {}

    // ---- Feed ----

    @Override
    public final BodyStream stream() {
        return this;
    }

    @Override
    public final void write(ByteBuffer part) {
        int bytes = part.remaining();
        if (over != null || whole) {
            part.position(part.limit());
            return;
        }
        if (pieces.end() + bytes > most) {
            part.position(part.limit());
            tooLong();
            finish(End.BROKEN);
            return;
        }
        pieces.add(part);
        from.moved(shared.clock().nowMs(), bytes);
        stored(bytes);
        wake();
    }

    @Override
    public final void complete() {
        if (over != null || whole) {
            return;
        }
        if (length >= 0 && pieces.end() != length) {
            finish(End.BROKEN);
            return;
        }
        whole = true;
        onInputComplete();
        Turn reader = turn;
        if (reader != null) {
            reader.checkWhole();
            reader.tellMore();
        }
        turns();
    }

    @Override
    public final void abort() {
        finish(End.BROKEN);
    }

    // ---- Flow ----

    @Override
    public final long length() {
        return length < 0 && whole ? pieces.end() : length;
    }

    @Override
    public boolean isReadableFromStart() {
        return over == null && !committed;
    }

    @Override
    public final Reader openReader(Runnable more) {
        if (!isReadableFromStart()) {
            throw new IllegalStateException("the first byte is gone");
        }
        if (turn != null) {
            turn.end = turn.end == null ? End.CANCELLED : turn.end;
        }
        turn = new Turn(more);
        begun();
        turn.checkWhole();
        turns();
        return turn;
    }

    /** A reading begins. */
    void begun() {}

    @Override
    public final void addListener(Listener told) {
        watcher = told;
        if (committed) {
            told.onCommitted();
        }
        if (over != null) {
            told.onEnd(over);
        }
    }

    @Override
    public final void release() {
        finish(End.CANCELLED);
    }

    // ---- For both kinds ----

    final Pieces pieces() {
        return pieces;
    }

    final boolean isWhole() {
        return whole;
    }

    final boolean isOver() {
        return over != null;
    }

    final boolean isCommitted() {
        return committed;
    }

    /** What was passed on is not kept: it cannot be read again. */
    final void commit() {
        if (!committed) {
            committed = true;
            watcher.onCommitted();
        }
    }

    /** More may be there to take, or to come. */
    final void wake() {
        if (over == null) {
            turns();
            if (turn != null) {
                turn.tellMore();
            }
        }
    }

    final void finish(End end) {
        if (over != null) {
            return;
        }
        over = end;
        if (look != null) {
            look.cancel();
        }
        shared.windows().close();
        Turn last = turn;
        boolean cut = last != null && last.end == null;
        if (cut) {
            last.end = end;
        }
        freeStorage();
        pieces.clear(handedOut());
        if (end != End.COMPLETE || !whole) {
            sender.cancel();
        }
        if (cut && !last.passing) {
            last.more.run();
        }
        watcher.onEnd(end);
        shared.ends().ended();
    }

    /** Whose turn it is now, and how much may come. */
    final void turns() {
        if (over == null) {
            double now = shared.clock().nowMs();
            int room = whole ? 0 : room();
            from.turn(now, room > 0);
            if (turn != null) {
                turn.pace.turn(now, turn.available() > 0);
            }
            if (!whole) {
                sender.grantCapacity(room);
            }
        }
    }

    private void lookLater() {
        look = shared.scheduler().schedule(shared.paceMs() / LOOKS, () -> {
            if (over == null) {
                lookLater();
                look();
            }
        });
    }

    private void look() {
        double now = shared.clock().nowMs();
        turns();
        if (!whole && from.stopped(now)) {
            senderSlow();
            finish(End.BROKEN);
        } else if (turn != null && turn.end == null && turn.pace.stopped(now)) {
            shared.ends().slow("reader");
            turn.end = End.CANCELLED;
            Turn slow = turn;
            if (stopped()) {
                finish(End.CANCELLED);
            }
            slow.more.run();
        }
    }

    /** One reading. */
    private final class Turn implements Reader {

        private final Runnable more;
        private final Pace pace = shared.pace();
        private long position;
        private End end;
        private boolean passing;

        Turn(Runnable more) {
            this.more = more;
        }

        @Override
        public int available() {
            return end != null ? 0 : at(position).remaining();
        }

        @Override
        public void transferTo(Sink out) throws IOException {
            passing = true;
            try {
                pass(out);
            } finally {
                passing = false;
            }
            turns();
        }

        private void pass(Sink out) throws IOException {
            while (end == null) {
                ByteBuffer there = at(position);
                int written = there.hasRemaining() ? out.write(there) : 0;
                if (written > 0) {
                    position += written;
                    pace.moved(shared.clock().nowMs(), written);
                    passed(position);
                    checkWhole();
                }
                if (written == 0 || there.hasRemaining()) {
                    return;
                }
            }
        }

        private void tellMore() {
            if (!passing && (end == null || end == End.COMPLETE)) {
                more.run();
            }
        }

        private void checkWhole() {
            if (end == null && whole && position == pieces.end()) {
                end = End.COMPLETE;
                if (allPassed()) {
                    finish(End.COMPLETE);
                }
            }
        }

        @Override
        public End end() {
            return end;
        }

        @Override
        public void cancel() {
            if (end == null) {
                end = End.CANCELLED;
                if (this == turn && stopped()) {
                    finish(End.CANCELLED);
                }
            }
        }
    }

    static ByteBuffer nothing() {
        return NOTHING;
    }
}
