package peppergauge.sockets;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.util.Timeout;
import peppergauge.log.Log;

/**
 * A connection of the {@link EventLoop}. Output is written at the end of the round, and the selector is used only if
 * the socket does not accept all of it. An exception of its handler closes it and nothing else.
 */
final class EventLoopSession extends ChannelSession implements ReadControl, SelectedChannel {

    /** Input of one connection in a round, before others are served: protocols read until nothing is left. */
    private static final int MAX_READ_BYTES_PER_ROUND = 128 * 1024;

    private static final int END_OF_STREAM = -1;

    /** Time without an event after which a socket is tried that was not reported since its registration. */
    private static final long FIRST_RECHECK_NANOS = 20_000_000;

    private final SelectionKey key;
    private final EventLoop loop;
    /** Whether the protocol has output. Only the event loop's thread uses this and the following fields. */
    private boolean wantsOutput;
    /** Whether this session is written at the end of the round. */
    private boolean scheduled;

    private int writesInRound;
    private boolean readsSuspended;
    /** The round in which {@link #readBytesInRound} were read. */
    private long readRound;

    private int readBytesInRound;
    private long transferredBytes;
    /** The socket timeout at the last check, and when something was last read or written. */
    private Timeout checkedTimeout = Timeout.DISABLED;

    private long lastEventNanos = System.nanoTime();
    private long lastSelectedNanos = System.nanoTime();
    /** Time without an event after which this socket is tried; long once the selector has reported it. */
    private long recheckNanos = FIRST_RECHECK_NANOS;
    /** The operations to select while the registration is being renewed; -1 otherwise. */
    private int interestToRestore = -1;

    /** @param initialEndpoint the name that was connected to; null for an accepted connection */
    EventLoopSession(SocketChannel channel, SelectionKey key, NamedEndpoint initialEndpoint, EventLoop loop) {
        super(channel, initialEndpoint);
        this.key = key;
        this.loop = loop;
    }

    // ---- Events ----

    /** Notifies the handler that the connection is open. */
    void onConnected() {
        runHandler(() -> getHandler().connected(this));
    }

    @Override
    public void onSelected(int readyOps) {
        lastSelectedNanos = System.nanoTime();
        recheckNanos = Long.MAX_VALUE;
        runHandler(() -> {
            if ((readyOps & EventMask.READ) != 0) {
                updateReadTime();
                getHandler().inputReady(this, null);
            }
            boolean isWritable = (readyOps & EventMask.WRITE) != 0 || (getEventMask() & EventMask.WRITE) != 0;
            if (isWritable && !isClosed()) {
                updateWriteTime();
                getHandler().outputReady(this);
            }
        });
    }

    /** Notifies the handler that the connection has closed; called once. */
    void onDisconnected() {
        EventLoop.runGuarded(() -> getHandler().disconnected(this));
        cancelCommands();
    }

    /** A call of the handler that may fail. */
    private interface HandlerCall {
        void run() throws IOException;
    }

    /** Calls the handler, unless the session is closed; a failure closes the session. */
    private void runHandler(HandlerCall call) {
        if (isClosed()) {
            return;
        }
        try {
            call.run();
        } catch (CancelledKeyException closed) {
            close(CloseMode.GRACEFUL);
        } catch (IOException | RuntimeException failed) {
            EventLoop.runGuarded(() -> getHandler().exception(this, failed));
            close(CloseMode.GRACEFUL);
        } catch (LinkageError unusable) {
            Log.error("event_loop_task_failed", unusable);
            close(CloseMode.GRACEFUL);
        }
    }

    // ---- Events that the selector does not report ----

    /** Whether the selector has not reported this socket for so long that its registration may have failed. */
    boolean isRecheckDue(long nowNanos, long maxRecheckNanos) {
        return nowNanos - lastSelectedNanos >= Math.min(recheckNanos, maxRecheckNanos) && interestToRestore < 0;
    }

    /** Reads and writes as if the selector had reported the socket; an effect shows that its registration failed. */
    void recheck(long nowNanos) {
        lastSelectedNanos = nowNanos;
        recheckNanos = recheckNanos > Long.MAX_VALUE / 2 ? Long.MAX_VALUE : 2 * recheckNanos;
        long bytesBefore = transferredBytes;
        int interest = getEventMask();
        runHandler(() -> {
            if ((interest & EventMask.READ) != 0) {
                getHandler().inputReady(this, null);
            }
            if ((getEventMask() & EventMask.WRITE) != 0) {
                getHandler().outputReady(this);
            }
        });
        if (transferredBytes != bytesBefore) {
            loop.selector().onEventMissed();
            registerAnew();
        }
    }

    /** Removes the registration with the selector and restores it after the next select. */
    void registerAnew() {
        if (!isClosed() && interestToRestore < 0) {
            interestToRestore = key.interestOps();
            key.interestOps(0);
            loop.selector().restoreLater(this);
        }
    }

    /** Selects again what was selected before the registration was removed. */
    void restoreInterest() {
        int ops = interestToRestore;
        interestToRestore = -1;
        if (!isClosed() && ops >= 0) {
            register(ops);
        }
    }

    /** Changes what the selector reports; whether that has succeeded shows only by its next report. */
    private void register(int ops) {
        key.interestOps(ops);
        recheckNanos = FIRST_RECHECK_NANOS;
    }

    // ---- Interest ----

    @Override
    public void setEvent(int op) {
        if (!loop.isEventLoopThread()) {
            loop.execute(() -> setEvent(op));
        } else if (!isClosed()) {
            wantsOutput |= op == EventMask.WRITE;
            if ((getEventMask() & op) == op) {
                return;
            }
            if (op != EventMask.WRITE) {
                setEventMask(getEventMask() | op);
            } else if (!scheduled) {
                scheduled = true;
                loop.writeLater(this);
            }
        }
    }

    @Override
    public void clearEvent(int op) {
        if (!loop.isEventLoopThread()) {
            loop.execute(() -> clearEvent(op));
        } else if (!isClosed()) {
            wantsOutput &= op != EventMask.WRITE;
            if ((getEventMask() & op) != 0) {
                setEventMask(getEventMask() & ~op);
            }
        }
    }

    @Override
    public int getEventMask() {
        if (isClosed()) {
            return 0;
        }
        return interestToRestore >= 0 ? interestToRestore : key.interestOps();
    }

    @Override
    public void setEventMask(int ops) {
        if (!loop.isEventLoopThread()) {
            loop.execute(() -> setEventMask(ops));
        } else if (!isClosed()) {
            if (interestToRestore >= 0) {
                interestToRestore = ops;
            } else if (key.interestOps() != ops) {
                register(ops);
            }
        }
    }

    /** Lets the protocol write its output, as when the socket is writable. */
    void write() {
        scheduled = false;
        if (!wantsOutput || isClosed()) {
            return;
        }
        if (++writesInRound > EventLoop.MAX_WRITES_PER_ROUND) {
            setEventMask(getEventMask() | EventMask.WRITE);
            return;
        }
        runHandler(() -> {
            updateWriteTime();
            getHandler().outputReady(this);
            if (wantsOutput && !scheduled && !isClosed()) {
                // The socket accepts no more; the selector reports when it is writable again.
                setEventMask(getEventMask() | EventMask.WRITE);
            }
        });
    }

    /** Resets the number of writes in the round. */
    void onRoundEnded() {
        writesInRound = 0;
    }

    // ---- Input and output ----

    @Override
    public int read(ByteBuffer into) throws IOException {
        if (readRound != loop.round()) {
            readRound = loop.round();
            readBytesInRound = 0;
        }
        if (readsSuspended || readBytesInRound >= MAX_READ_BYTES_PER_ROUND) {
            return 0;
        }
        int bytes = socketChannel().read(into);
        if (bytes < END_OF_STREAM) {
            // The JDK's code for an interrupted call, which has read nothing.
            loop.selector().onInterrupted();
            return 0;
        }
        // The end of the stream counts as well.
        transferredBytes += Math.abs(bytes);
        readBytesInRound += Math.max(0, bytes);
        return bytes;
    }

    @Override
    public void suspendReads(boolean suspended) {
        readsSuspended = suspended;
    }

    /** Writes to the socket; a failure closes the session in this round, also if a codec keeps it to itself. */
    @Override
    public int write(ByteBuffer from) throws IOException {
        int bytes;
        try {
            bytes = socketChannel().write(from);
        } catch (IOException failed) {
            loop.execute(() -> runHandler(() -> {
                throw failed;
            }));
            throw failed;
        }
        if (bytes < 0) {
            loop.selector().onInterrupted();
            return 0;
        }
        transferredBytes += bytes;
        return bytes;
    }

    // ---- Close ----

    @Override
    public void close() {
        close(CloseMode.GRACEFUL);
    }

    /** Closes the socket; {@link CloseMode#IMMEDIATE} resets the connection, so that unsent output is discarded. */
    @Override
    public void close(CloseMode mode) {
        if (!markClosed()) {
            return;
        }
        try {
            if (mode == CloseMode.IMMEDIATE) {
                socketChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
            } else {
                socketChannel().shutdownOutput();
            }
        } catch (IOException | RuntimeException disconnected) {
            // There is nobody to notify.
        }
        key.cancel();
        try {
            socketChannel().close();
        } catch (IOException failed) {
            // The descriptor is released in either case.
        }
        loop.onSessionClosed(this);
    }

    // ---- Timeouts ----

    /**
     * Notifies the protocol if nothing was read or written for the socket timeout; a change of it starts it anew.
     *
     * @return whether the session is still open
     */
    boolean checkTimeout(long nowNanos) {
        Timeout timeout = timeout();
        if (!timeout.equals(checkedTimeout)) {
            checkedTimeout = timeout;
            lastEventNanos = nowNanos;
        }
        if (timeout.isEnabled() && isOpen() && nowNanos - lastEventNanos >= timeout.toNanoseconds()) {
            lastEventNanos = nowNanos;
            runHandler(() -> getHandler().timeout(this, timeout));
        }
        return !isClosed();
    }

    @Override
    public void updateReadTime() {
        loop.onInputEvent();
        lastEventNanos = System.nanoTime();
        super.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        lastEventNanos = System.nanoTime();
        super.updateWriteTime();
    }
}
