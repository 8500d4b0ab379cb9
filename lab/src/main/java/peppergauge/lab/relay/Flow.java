package peppergauge.lab.relay;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import peppergauge.lab.fault.FaultKind;
import peppergauge.lab.wire.Loop;

/** One connection through a link: two sockets, and a way for the bytes in each direction. */
final class Flow {

    private final Loop loop;
    private final Link link;
    private final Tap tap;
    private final long bornNs = System.nanoTime();
    private final End near;
    private final End far;
    /** From the caller to the called one, and back. */
    private final Way out;

    private final Way back;
    private boolean over;

    Flow(Loop loop, Link link, SocketChannel accepted, Tap tap) throws IOException {
        this.loop = loop;
        this.link = link;
        this.tap = tap;
        accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
        SocketChannel other = SocketChannel.open();
        other.configureBlocking(false);
        other.setOption(StandardSocketOptions.TCP_NODELAY, true);
        near = new End(accepted, true);
        far = new End(other, false);
        out = new Way(this, near, far);
        back = new Way(this, far, near);
        double lateMs = link.size(FaultKind.ACCEPT_LATE, bornNs);
        if (link.holds(FaultKind.ACCEPT_MUTE, bornNs)) {
            out.lost();
        } else if (lateMs > 0) {
            loop.at(bornNs + (long) (lateMs * 1e6), this::connect);
        } else {
            // Not within the listener's call: the near socket is registered only after it.
            loop.at(bornNs, this::connect);
        }
    }

    Loop.Handler near() {
        return near;
    }

    Loop loop() {
        return loop;
    }

    private void connect() {
        if (over) {
            return;
        }
        try {
            if (link.target() == null) {
                reset();
                return;
            }
            far.channel.connect(link.target());
            loop.register(far.channel, SelectionKey.OP_CONNECT, far);
        } catch (IOException refused) {
            reset();
        }
    }

    // ---- What holds for it now ----

    boolean loses(Way way) {
        return holds(FaultKind.DROP)
                || holds(FaultKind.CUT_OPEN)
                || holds(FaultKind.ACCEPT_MUTE)
                || holds(way == out ? FaultKind.DROP_OUT : FaultKind.DROP_BACK);
    }

    boolean stalled() {
        return holds(FaultKind.STALL);
    }

    private boolean holds(FaultKind what) {
        return link.holds(what, bornNs);
    }

    double size(FaultKind what) {
        return link.size(what, bornNs);
    }

    /** For what lost bytes there is no way back: no stream goes on with a hole. */
    void healed() {
        if (out.hasLost() && !loses(out) || back.hasLost() && !loses(back)) {
            reset();
        } else if (!over) {
            out.pass();
            back.pass();
        }
    }

    // ---- Its sockets ----

    void read(Way way, byte[] bytes, int count) {
        if (way == out) {
            tap.sent(bytes, count);
        } else {
            tap.said(bytes, count);
        }
    }

    void written(Way way, byte[] bytes, int count) {
        if (way == back) {
            tap.told(bytes, count);
        } else {
            tap.passed(bytes, count);
        }
    }

    /** An end has said all that it will say. */
    void ended(Way way) {
        if (way == out) {
            over(true);
        } else {
            left();
        }
        if (out.isDone() && back.isDone()) {
            close();
        }
    }

    private boolean told;
    private boolean left;

    private void left() {
        if (!told && !left) {
            left = true;
            tap.left();
        }
    }

    private void over(boolean byCaller) {
        if (!told) {
            told = true;
            tap.over(byCaller);
        }
    }

    void reset() {
        near.linger();
        far.linger();
        close();
    }

    private void close() {
        over = true;
        over(false);
        near.close();
        far.close();
        link.gone(this);
    }

    /** One of the two sockets. */
    final class End implements Loop.Handler {

        private final SocketChannel channel;
        private final boolean isNear;
        private boolean wantsRoom;

        End(SocketChannel channel, boolean isNear) {
            this.channel = channel;
            this.isNear = isNear;
        }

        SocketChannel channel() {
            return channel;
        }

        private Way reads() {
            return isNear ? out : back;
        }

        private Way writes() {
            return isNear ? back : out;
        }

        @Override
        public void ready(SelectionKey key) throws IOException {
            if (key.isConnectable() && channel.finishConnect()) {
                interest(key);
                writes().pass();
                return;
            }
            if (key.isWritable()) {
                wantsRoom = false;
                writes().pass();
            }
            if (key.isValid() && key.isReadable()) {
                reads().fill();
            }
            if (key.isValid()) {
                interest(key);
            }
        }

        private void interest(SelectionKey key) {
            key.interestOps((reads().takes() ? SelectionKey.OP_READ : 0) | (wantsRoom ? SelectionKey.OP_WRITE : 0));
        }

        /** The socket did not take all, or the way is free again. */
        void wants(boolean room) {
            wantsRoom |= room;
            SelectionKey key = loop.key(channel);
            if (key != null && key.isValid() && channel.isConnected()) {
                interest(key);
            }
        }

        /** The kernel says that this end is gone. Where nothing passes, the other end does not hear of it. */
        @Override
        public void broken() {
            if (isNear) {
                over(true);
            } else {
                left();
            }
            if (over) {
                return;
            }
            if (loses(reads())) {
                reads().lost();
            } else {
                reset();
            }
        }

        private void linger() {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException gone) {
                // Then it is reset already.
            }
        }

        private void close() {
            try {
                channel.close();
            } catch (IOException failed) {
                // It is gone either way.
            }
        }
    }
}
