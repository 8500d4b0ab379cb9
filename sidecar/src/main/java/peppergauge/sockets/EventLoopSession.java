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
 * A connection of the {@link EventLoop}. HttpCore's own session wakes the selector at each change of interest, also at one
 * that changes nothing and on the selector's own thread: each read cost an idle round more, and each write a round of
 * its own. Here what the loop's thread writes goes out at the end of the round, and the selector is asked only where
 * the socket would not take it all. Calls from other threads go the usual way.
 */
final class EventLoopSession implements IOSession {

    private final IOSession raw;
    private final EventLoop loop;
    private final Deque<Command> commands = new ConcurrentLinkedDeque<>();
    /** These three belong to the loop's thread. */
    private boolean wantsOutput;

    private boolean listed;
    private int writes;

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
            } else if (!listed) {
                listed = true;
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
            // Also the reactor's first call for a socket that is up.
            loop.event();
            if ((raw.getEventMask() & op) != 0) {
                raw.clearEvent(op);
            }
        }
    }

    /** Has the protocol write what it has, as the reactor would when the socket is ready. */
    void write() {
        listed = false;
        if (!wantsOutput || raw.getStatus() == Status.CLOSED) {
            return;
        }
        if (++writes > EventLoop.MOST_WRITES) {
            raw.setEvent(EventMask.WRITE);
            return;
        }
        IOEventHandler handler = raw.getHandler();
        try {
            updateWriteTime();
            handler.outputReady(this);
            if (wantsOutput && !listed && raw.getStatus() != Status.CLOSED) {
                // The socket took no more: the selector tells when it does again.
                raw.setEvent(EventMask.WRITE);
            }
        } catch (CancelledKeyException closed) {
            close(CloseMode.GRACEFUL);
        } catch (IOException | RuntimeException failed) {
            handler.exception(this, failed);
            close(CloseMode.GRACEFUL);
        }
    }

    void endRound() {
        writes = 0;
    }

    // ---- As the reactor's own session does it ----

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

    @Override
    public Timeout getSocketTimeout() {
        return raw.getSocketTimeout();
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        raw.setSocketTimeout(timeout);
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        return raw.read(into);
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        return raw.write(from);
    }

    @Override
    public void updateReadTime() {
        // The reactor's first call for a socket that has something to read.
        loop.reading();
        raw.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
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
