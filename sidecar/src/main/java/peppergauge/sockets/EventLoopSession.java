package peppergauge.sockets;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.CancelledKeyException;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * A connection of the {@link EventLoop}. Output that the loop's thread requests is written at the end of the round, and
 * the selector is used only if the socket does not accept all of it. Calls of other threads are passed to HttpCore's
 * session, which wakes up the selector at each change of interest; here that would cost a round for each read and
 * write.
 */
final class EventLoopSession implements IOSession, ReadControl {

    /** Input of one connection in a round, before others are served: protocols read until nothing is left. */
    private static final int MAX_READ_BYTES_PER_ROUND = 128 * 1024;

    private final IOSession raw;
    private final EventLoop loop;
    private final Deque<Command> commands = new ConcurrentLinkedDeque<>();
    /** Whether the protocol has output. Only the event loop's thread uses this and the next two fields. */
    private boolean wantsOutput;
    /** Whether this session is written at the end of the round. */
    private boolean scheduled;

    private int writesInRound;
    private boolean readsSuspended;
    /** The round in which {@link #readBytesInRound} were read. */
    private long readRound;

    private int readBytesInRound;
    /** The socket timeout at the last check, and when something was last read or written. */
    private Timeout checkedTimeout = Timeout.DISABLED;

    private long lastEventNanos = System.nanoTime();

    EventLoopSession(IOSession raw, EventLoop loop) {
        this.raw = raw;
        this.loop = loop;
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        if (priority == Command.Priority.IMMEDIATE) {
            commands.addFirst(command);
        } else {
            commands.add(command);
        }
        if (isOpen()) {
            setEvent(EventMask.WRITE);
        } else {
            command.cancel();
        }
    }

    @Override
    public boolean hasCommands() {
        return !commands.isEmpty();
    }

    @Override
    public Command poll() {
        return commands.poll();
    }

    @Override
    public void setEvent(int op) {
        if (!loop.isEventLoopThread()) {
            raw.setEvent(op);
        } else if (raw.getStatus() != Status.CLOSED) {
            wantsOutput |= op == EventMask.WRITE;
            if ((raw.getEventMask() & op) == op) {
                return;
            }
            if (op != EventMask.WRITE) {
                raw.setEvent(op);
            } else if (!scheduled) {
                scheduled = true;
                loop.writeLater(this);
            }
        }
    }

    @Override
    public void clearEvent(int op) {
        if (!loop.isEventLoopThread()) {
            raw.clearEvent(op);
        } else if (raw.getStatus() != Status.CLOSED) {
            wantsOutput &= op != EventMask.WRITE;
            // This is the reactor's first call for an established connection.
            loop.onSocketEvent();
            if ((raw.getEventMask() & op) != 0) {
                raw.clearEvent(op);
            }
        }
    }

    /** Lets the protocol write its output, as the reactor does when the socket is writable. */
    void write() {
        scheduled = false;
        if (!wantsOutput || raw.getStatus() == Status.CLOSED) {
            return;
        }
        if (++writesInRound > EventLoop.MAX_WRITES_PER_ROUND) {
            raw.setEvent(EventMask.WRITE);
            return;
        }
        IOEventHandler handler = raw.getHandler();
        try {
            updateWriteTime();
            handler.outputReady(this);
            if (wantsOutput && !scheduled && raw.getStatus() != Status.CLOSED) {
                // The socket accepts no more; the selector reports when it is writable again.
                raw.setEvent(EventMask.WRITE);
            }
        } catch (CancelledKeyException closed) {
            close(CloseMode.GRACEFUL);
        } catch (IOException | RuntimeException failed) {
            handler.exception(this, failed);
            close(CloseMode.GRACEFUL);
        }
    }

    /** Resets the number of writes in the round. */
    void onRoundEnded() {
        writesInRound = 0;
    }

    // ---- Passed to HttpCore's session ----

    @Override
    public String getId() {
        return raw.getId();
    }

    @Override
    public IOEventHandler getHandler() {
        return raw.getHandler();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        raw.upgrade(handler);
    }

    @Override
    public Lock getLock() {
        return raw.getLock();
    }

    @Override
    public ByteChannel channel() {
        return raw.channel();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return raw.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return raw.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return raw.getEventMask();
    }

    @Override
    public void setEventMask(int ops) {
        raw.setEventMask(ops);
    }

    @Override
    public void close() {
        raw.close();
    }

    @Override
    public void close(CloseMode mode) {
        raw.close(mode);
    }

    @Override
    public Status getStatus() {
        return raw.getStatus();
    }

    @Override
    public boolean isOpen() {
        return raw.isOpen();
    }

    /** Returns no timeout, since {@link SessionTimeouts} checks the one that is set. */
    @Override
    public Timeout getSocketTimeout() {
        return Timeout.DISABLED;
    }

    /**
     * Notifies the protocol if nothing was read or written for the socket timeout; a change of it starts it anew.
     *
     * @return whether the session is still open
     */
    boolean checkTimeout(long nowNanos) {
        Timeout timeout = raw.getSocketTimeout();
        if (!timeout.equals(checkedTimeout)) {
            checkedTimeout = timeout;
            lastEventNanos = nowNanos;
        }
        if (timeout.isEnabled() && raw.isOpen() && nowNanos - lastEventNanos >= timeout.toNanoseconds()) {
            lastEventNanos = nowNanos;
            IOEventHandler handler = raw.getHandler();
            try {
                handler.timeout(this, timeout);
            } catch (IOException | RuntimeException failed) {
                handler.exception(this, failed);
                close(CloseMode.GRACEFUL);
            }
        }
        return raw.getStatus() != Status.CLOSED;
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        raw.setSocketTimeout(timeout);
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        if (!loop.isEventLoopThread()) {
            return raw.read(into);
        }
        if (readRound != loop.round()) {
            readRound = loop.round();
            readBytesInRound = 0;
        }
        if (readsSuspended || readBytesInRound >= MAX_READ_BYTES_PER_ROUND) {
            return 0;
        }
        int bytes = raw.read(into);
        readBytesInRound += Math.max(0, bytes);
        return bytes;
    }

    @Override
    public void suspendReads(boolean suspended) {
        readsSuspended = suspended;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        return raw.write(from);
    }

    @Override
    public void updateReadTime() {
        // This is the reactor's first call for a readable socket.
        loop.onInputEvent();
        lastEventNanos = System.nanoTime();
        raw.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        lastEventNanos = System.nanoTime();
        raw.updateWriteTime();
    }

    @Override
    public long getLastReadTime() {
        return raw.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return raw.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return raw.getLastEventTime();
    }
}
