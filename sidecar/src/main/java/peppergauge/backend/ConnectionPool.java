package peppergauge.backend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.URIAuthority;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.pool.StrictConnPool;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import peppergauge.request.Backend;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.SocketLimit;

/**
 * Connections to backend servers, the most recently used first; a server that comes at the address of another gets
 * none of the other's. HttpCore's own requester is passed by: it would leave the connect time-out in force as the
 * connection's read time-out, and load the machine's trust store at each start. Only the loop's thread comes here.
 */
final class ConnectionPool {

    /** Share of the idle time after which the server may close: a margin, or a request could cross its close. */
    private static final double IDLE_SHARE = 0.75;

    private static final Timeout LONGEST_LOCK = Timeout.ofSeconds(1);

    /**
     * Share of the places that is left to sockets being closed, which still hold descriptors for a moment: at its size
     * a connection need not wait for theirs.
     */
    private static final double CLOSING_SHARE = 0.1;

    private final EventLoop loop;
    private final SocketLimit room;
    private final StrictConnPool<Backend.Server, ServerConnection> pool;
    private final Timeout connectTimeout;
    private final Timeout idle;

    ConnectionPool(EventLoop loop, SocketLimit room, int most, double connectTimeoutMs, double idleMs) {
        this.loop = loop;
        this.room = room;
        int pooled = (int) Math.ceil(most * (1 - CLOSING_SHARE));
        this.pool = new StrictConnPool<>(pooled, pooled, TimeValue.NEG_ONE_MILLISECOND, PoolReusePolicy.LIFO, null);
        this.connectTimeout = Timeout.ofMilliseconds((long) Math.max(1, connectTimeoutMs));
        this.idle = Timeout.ofMilliseconds((long) Math.max(1, idleMs * IDLE_SHARE));
    }

    /** Hands on an open connection, at once if one is idle; fails if none comes up or no socket is left. */
    void lease(Backend.Server server, FutureCallback<PoolEntry<Backend.Server, ServerConnection>> leased) {
        Future<PoolEntry<Backend.Server, ServerConnection>> lease = pool.lease(server, null, LONGEST_LOCK, null);
        if (!lease.isDone()) {
            // The pool would queue the send out of sight of its deadline; none may wait for a socket.
            lease.cancel(true);
            leased.failed(new IOException("no socket left"));
            return;
        }
        PoolEntry<Backend.Server, ServerConnection> entry;
        try {
            entry = lease.get();
        } catch (ExecutionException | InterruptedException refused) {
            leased.failed(new IOException("no socket left", refused));
            return;
        }
        if (entry.hasConnection() && !entry.getConnection().isOpen()) {
            entry.discardConnection(CloseMode.IMMEDIATE);
        }
        if (entry.hasConnection()) {
            entry.getConnection().setTimeout(Timeout.DISABLED);
            leased.completed(entry);
        } else {
            connect(server, entry, leased);
        }
    }

    /**
     * The place may be that of a socket which was closed just now, for this connection or another: it is free within
     * two rounds. It surely comes, since the pool allows no more connections than there are places.
     */
    private void connect(
            Backend.Server server,
            PoolEntry<Backend.Server, ServerConnection> entry,
            FutureCallback<PoolEntry<Backend.Server, ServerConnection>> leased) {
        URIAuthority to = authority(server.address());
        room.acquireThenRun(() -> open(to, entry, leased));
    }

    private void open(
            URIAuthority to,
            PoolEntry<Backend.Server, ServerConnection> entry,
            FutureCallback<PoolEntry<Backend.Server, ServerConnection>> leased) {
        ServerConnection connection = new ServerConnection(room);
        loop.connect(
                to,
                new InetSocketAddress(to.getHostName(), to.getPort()),
                connectTimeout,
                connection,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession up) {
                        up.setSocketTimeout(Timeout.DISABLED);
                        entry.assignConnection(connection);
                        leased.completed(entry);
                    }

                    @Override
                    public void failed(Exception cause) {
                        room.onSocketClosed();
                        discard(entry);
                        leased.failed(cause);
                    }

                    @Override
                    public void cancelled() {
                        failed(new IOException("connecting was cancelled"));
                    }
                });
    }

    private static URIAuthority authority(String address) {
        try {
            return URIAuthority.create(address);
        } catch (URISyntaxException malformed) {
            throw new IllegalArgumentException("not an address: " + address);
        }
    }

    void release(PoolEntry<Backend.Server, ServerConnection> entry) {
        ServerConnection connection = entry.getConnection();
        boolean open = connection != null && connection.isOpen();
        if (open) {
            // Only while it is idle: an attempt has a timer of its own, and may well take longer.
            connection.setTimeout(idle);
            connection.kept();
        }
        entry.updateExpiry(idle);
        pool.release(entry, open);
    }

    /** Closes the socket at once; nothing more is read, though a spoilt answer may go on for gigabytes. */
    void discard(PoolEntry<Backend.Server, ServerConnection> entry) {
        entry.discardConnection(CloseMode.GRACEFUL);
        pool.release(entry, false);
    }

    /** Drops what is idle there, and what has closed by itself anywhere. */
    void closeIdle(Backend.Server server) {
        pool.enumAvailable(entry -> {
            if (entry.getRoute().equals(server) || !entry.getConnection().isOpen()) {
                entry.discardConnection(CloseMode.IMMEDIATE);
            }
        });
    }

    void close() {
        pool.close(CloseMode.GRACEFUL);
    }
}
