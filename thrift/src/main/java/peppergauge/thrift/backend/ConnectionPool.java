package peppergauge.thrift.backend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.net.URIAuthority;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.memory.MessageMemory;
import peppergauge.request.Backend;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.SocketLimit;
import peppergauge.thrift.wire.MessageLimits;
import peppergauge.thrift.wire.WireFormat;

/**
 * Pools connections to Thrift servers and leases the most recently used first. Connections belong to a server, not to
 * an address: a server that takes over the address of another gets new connections. Event-loop thread only.
 */
final class ConnectionPool {

    /** Idle connections close after this share of the server's idle timeout, lest a call meet the server's close. */
    private static final double IDLE_TIMEOUT_SHARE = 0.75;
    /** Share of the sockets kept free for closing connections, which hold their descriptors a little longer. */
    private static final double CLOSING_SOCKETS_SHARE = 0.1;

    static final int READ_BUFFER_BYTES = 8 * 1024;

    /** Shared by all connections, since only the event-loop thread reads. */
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);

    private final EventLoop loop;
    private final SocketLimit socketLimit;
    private final WireFormat format;
    private final MessageLimits limits;
    private final MessageMemory messageMemory;
    private final int maxOpenConnections;
    private final Timeout connectTimeout;
    private final Timeout idleTimeout;
    private final Map<Backend.Server, Deque<ServerConnection>> idleByServer = new HashMap<>();
    /** All idle connections, the longest idle first. */
    private final Set<ServerConnection> idleByAge = new LinkedHashSet<>();

    private int openConnections;

    /** Receives a leased connection; one of the methods is called, once. */
    interface LeaseListener {

        void onLeased(ServerConnection connection);

        void onFailed(Exception cause);
    }

    ConnectionPool(
            EventLoop loop,
            WireFormat format,
            MessageLimits limits,
            int maxSockets,
            double connectTimeoutMs,
            double idleTimeoutMs,
            MessageMemory messageMemory) {
        this.loop = loop;
        this.socketLimit = new SocketLimit(maxSockets, loop);
        this.format = format;
        this.limits = limits;
        this.messageMemory = messageMemory;
        this.maxOpenConnections = (int) Math.ceil(maxSockets * (1 - CLOSING_SOCKETS_SHARE));
        this.connectTimeout = Timeout.ofMilliseconds((long) Math.max(1, connectTimeoutMs));
        this.idleTimeout = Timeout.ofMilliseconds((long) Math.max(1, idleTimeoutMs * IDLE_TIMEOUT_SHARE));
    }

    ByteBuffer readBuffer() {
        return readBuffer;
    }

    /** Leases an idle connection at once, or opens one; fails if it cannot be opened or no socket is free. */
    void lease(Backend.Server server, LeaseListener listener) {
        Deque<ServerConnection> idle = idleByServer.get(server);
        ServerConnection lastUsed = idle == null ? null : idle.peekLast();
        if (lastUsed != null) {
            removeIdle(lastUsed);
            lastUsed.setTimeout(Timeout.DISABLED);
            listener.onLeased(lastUsed);
            return;
        }
        if (openConnections >= maxOpenConnections && !idleByAge.isEmpty()) {
            idleByAge.iterator().next().close();
        }
        if (openConnections >= maxOpenConnections || !socketLimit.tryAcquire()) {
            listener.onFailed(new IOException("no free socket; " + openConnections + " connections are open, at most "
                    + maxOpenConnections + " are allowed"));
            return;
        }
        openConnections++;
        connect(server, listener);
    }

    private void connect(Backend.Server server, LeaseListener listener) {
        ServerConnection connection =
                new ServerConnection(server, this, format, limits, messageMemory.newReservation());
        URIAuthority authority = parseAuthority(server.address());
        loop.connect(
                authority,
                new InetSocketAddress(authority.getHostName(), authority.getPort()),
                connectTimeout,
                connection,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        session.setSocketTimeout(Timeout.DISABLED);
                        listener.onLeased(connection);
                    }

                    @Override
                    public void failed(Exception cause) {
                        openConnections--;
                        socketLimit.onSocketClosed();
                        listener.onFailed(cause);
                    }

                    @Override
                    public void cancelled() {
                        failed(new IOException("connection attempt to " + authority + " was cancelled"));
                    }
                });
    }

    private static URIAuthority parseAuthority(String address) {
        try {
            return URIAuthority.create(address);
        } catch (URISyntaxException malformed) {
            throw new IllegalArgumentException("server address is " + address + "; expected host:port");
        }
    }

    /** Takes a connection back that has no exchange any more and can be reused. */
    void release(ServerConnection connection) {
        if (connection.isOpen()) {
            // Only idle connections have this timeout; an attempt has its own deadline, which may be later.
            connection.setTimeout(idleTimeout);
            idleByServer
                    .computeIfAbsent(connection.server(), server -> new ArrayDeque<>())
                    .addLast(connection);
            idleByAge.add(connection);
        }
    }

    /**
     * Notified that a connection is closed or about to be closed: it no longer counts as open, but still holds its
     * descriptor. May be called several times.
     */
    void onClosing(ServerConnection connection) {
        removeIdle(connection);
        openConnections -= connection.stopCountingAsOpen() ? 1 : 0;
    }

    private void removeIdle(ServerConnection connection) {
        if (idleByAge.remove(connection)) {
            Deque<ServerConnection> idle = idleByServer.get(connection.server());
            idle.remove(connection);
            if (idle.isEmpty()) {
                idleByServer.remove(connection.server());
            }
        }
    }

    /** Notified that an established connection has closed. To be called once. */
    void onClosed(ServerConnection connection) {
        onClosing(connection);
        socketLimit.onSocketClosed();
    }

    /** Closes the idle connections to a server. */
    void closeIdle(Backend.Server server) {
        Deque<ServerConnection> idle = idleByServer.get(server);
        if (idle != null) {
            new ArrayDeque<>(idle).forEach(ServerConnection::close);
        }
    }
}
