package peppergauge.backend;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.pool.StrictConnPool;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import peppergauge.sockets.SocketRoom;

/**
 * Connections to backend servers, the most recently used first. HttpCore's own requester is passed by since
 * it would leave the connect time-out in force as the connection's read time-out.
 */
final class Connections {

    /** Share of the idle time after which the server may close: a margin, or a request could cross its close. */
    private static final double IDLE_SHARE = 0.75;
    private static final Timeout LONGEST_LOCK = Timeout.ofSeconds(1);

    /** Share of the places that is left to sockets being closed, which still hold descriptors for a moment. */
    private static final double CLOSING_SHARE = 0.1;

    private final HttpAsyncRequester requester;
    private final SocketRoom room;
    private final StrictConnPool<HttpHost, IOSession> pool;
    private final Timeout connectTimeout;
    private final Timeout idle;

    Connections(HttpAsyncRequester requester, SocketRoom room, int most, double connectTimeoutMs, double idleMs) {
        this.requester = requester;
        this.room = room;
        int pooled = (int) Math.ceil(most * (1 - CLOSING_SHARE));
        this.pool = new StrictConnPool<>(pooled, pooled, TimeValue.NEG_ONE_MILLISECOND, PoolReusePolicy.LIFO, null);
        this.connectTimeout = Timeout.ofMilliseconds((long) Math.max(1, connectTimeoutMs));
        this.idle = Timeout.ofMilliseconds((long) Math.max(1, idleMs * IDLE_SHARE));
    }

    /** Hands on an open connection, at once if one is idle; fails if none comes up or no socket is left. */
    void lease(HttpHost server, FutureCallback<PoolEntry<HttpHost, IOSession>> leased) {
        Future<PoolEntry<HttpHost, IOSession>> lease = pool.lease(server, null, LONGEST_LOCK, null);
        if (!lease.isDone()) {
            // The pool would queue the send out of sight of its deadline; none may wait for a socket.
            lease.cancel(true);
            leased.failed(new IOException("no socket left"));
            return;
        }
        PoolEntry<HttpHost, IOSession> entry;
        try {
            entry = lease.get();
        } catch (ExecutionException | InterruptedException refused) {
            leased.failed(new IOException("no socket left", refused));
            return;
        }
        IOSession idleOne = entry.getConnection();
        if (idleOne != null && !idleOne.isOpen()) {
            entry.discardConnection(CloseMode.IMMEDIATE);
        }
        if (idleOne != null && entry.hasConnection()) {
            idleOne.setSocketTimeout(Timeout.DISABLED);
            leased.completed(entry);
        } else {
            connect(server, entry, leased);
        }
    }

    private void connect(HttpHost server, PoolEntry<HttpHost, IOSession> entry,
            FutureCallback<PoolEntry<HttpHost, IOSession>> leased) {
        if (!room.take()) {
            discard(entry);
            leased.failed(new IOException("no socket left"));
            return;
        }
        requester.connect(server, new InetSocketAddress(server.getHostName(), server.getPort()), null, connectTimeout,
                null, new FutureCallback<>() {
                    @Override
                    public void completed(IOSession connection) {
                        connection.setSocketTimeout(Timeout.DISABLED);
                        entry.assignConnection(connection);
                        leased.completed(entry);
                    }

                    @Override
                    public void failed(Exception cause) {
                        room.closed();
                        discard(entry);
                        leased.failed(cause);
                    }

                    @Override
                    public void cancelled() {
                        failed(new IOException("connecting was cancelled"));
                    }
                });
    }

    void reuse(PoolEntry<HttpHost, IOSession> entry) {
        IOSession connection = entry.getConnection();
        if (connection != null) {
            // Only while it is idle: an attempt has a timer of its own, and may well take longer.
            connection.setSocketTimeout(idle);
        }
        entry.updateExpiry(idle);
        pool.release(entry, connection != null && connection.isOpen());
    }

    void discard(PoolEntry<HttpHost, IOSession> entry) {
        entry.discardConnection(CloseMode.GRACEFUL);
        pool.release(entry, false);
    }

    void close() {
        pool.close(CloseMode.GRACEFUL);
    }
}
