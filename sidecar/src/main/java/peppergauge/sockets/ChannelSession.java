package peppergauge.sockets;

import java.net.SocketAddress;
import java.nio.channels.ByteChannel;
import java.nio.channels.SocketChannel;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import javax.net.ssl.SSLContext;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.reactor.ssl.SSLBufferMode;
import org.apache.hc.core5.reactor.ssl.SSLSessionInitializer;
import org.apache.hc.core5.reactor.ssl.SSLSessionVerifier;
import org.apache.hc.core5.reactor.ssl.TlsDetails;
import org.apache.hc.core5.util.Timeout;

/** The state of a session that HttpCore's codecs ask for: its socket, handler, commands and times. */
abstract class ChannelSession implements ProtocolIOSession {

    private static final AtomicLong CREATED = new AtomicLong();

    private final SocketChannel channel;
    private final NamedEndpoint initialEndpoint;
    private final String id = "c-" + CREATED.incrementAndGet();
    private final Lock lock = new ReentrantLock();
    private final AtomicReference<Status> status = new AtomicReference<>(Status.ACTIVE);
    private final Deque<Command> commands = new ConcurrentLinkedDeque<>();
    private volatile IOEventHandler handler;
    private volatile Timeout timeout = Timeout.DISABLED;
    private long lastReadTime = System.currentTimeMillis();
    private long lastWriteTime = lastReadTime;

    /** @param initialEndpoint the name that was connected to; null for an accepted connection */
    ChannelSession(SocketChannel channel, NamedEndpoint initialEndpoint) {
        this.channel = channel;
        this.initialEndpoint = initialEndpoint;
    }

    // ---- Commands ----

    @Override
    public final void enqueue(Command command, Command.Priority priority) {
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
    public final boolean hasCommands() {
        return !commands.isEmpty();
    }

    @Override
    public final Command poll() {
        return commands.poll();
    }

    /** Cancels the commands that nobody has taken; called when the session has closed. */
    protected final void cancelCommands() {
        for (Command command = commands.poll(); command != null; command = commands.poll()) {
            Command open = command;
            EventLoop.runGuarded(open::cancel);
        }
    }

    // ---- State ----

    @Override
    public final String getId() {
        return id;
    }

    @Override
    public final IOEventHandler getHandler() {
        return handler;
    }

    @Override
    public final void upgrade(IOEventHandler newHandler) {
        handler = newHandler;
    }

    @Override
    public final Lock getLock() {
        return lock;
    }

    @Override
    public final ByteChannel channel() {
        return channel;
    }

    protected final SocketChannel socketChannel() {
        return channel;
    }

    @Override
    public final SocketAddress getRemoteAddress() {
        return channel.socket().getRemoteSocketAddress();
    }

    @Override
    public final SocketAddress getLocalAddress() {
        return channel.socket().getLocalSocketAddress();
    }

    @Override
    public final Status getStatus() {
        return status.get();
    }

    @Override
    public final boolean isOpen() {
        return status.get() == Status.ACTIVE && channel.isOpen();
    }

    protected final boolean isClosed() {
        return status.get() == Status.CLOSED;
    }

    /** Marks the session as closed; returns whether it was open. */
    protected final boolean markClosed() {
        return status.compareAndSet(Status.ACTIVE, Status.CLOSED);
    }

    @Override
    public final NamedEndpoint getInitialEndpoint() {
        return initialEndpoint;
    }

    // ---- Times ----

    /** Returns no timeout, since {@link SocketChecks} checks the one that is set. */
    @Override
    public final Timeout getSocketTimeout() {
        return Timeout.DISABLED;
    }

    @Override
    public final void setSocketTimeout(Timeout newTimeout) {
        timeout = newTimeout == null ? Timeout.DISABLED : newTimeout;
    }

    /** The timeout that was set. */
    protected final Timeout timeout() {
        return timeout;
    }

    @Override
    public void updateReadTime() {
        lastReadTime = System.currentTimeMillis();
    }

    @Override
    public void updateWriteTime() {
        lastWriteTime = System.currentTimeMillis();
    }

    @Override
    public final long getLastReadTime() {
        return lastReadTime;
    }

    @Override
    public final long getLastWriteTime() {
        return lastWriteTime;
    }

    @Override
    public final long getLastEventTime() {
        return Math.max(lastReadTime, lastWriteTime);
    }

    // ---- TLS ----

    @Override
    public final void startTls(
            SSLContext context,
            NamedEndpoint endpoint,
            SSLBufferMode bufferMode,
            SSLSessionInitializer initializer,
            SSLSessionVerifier verifier,
            Timeout handshakeTimeout) {
        throw new UnsupportedOperationException("TLS is not supported");
    }

    @Override
    public final TlsDetails getTlsDetails() {
        return null;
    }
}
