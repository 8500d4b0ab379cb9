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
import org.apache.hc.core5.pool.PoolStats;
import org.apache.hc.core5.pool.StrictConnPool;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.SocketLimit;

/**
 * Pool of connections to backend servers, reused in last-in, first-out order after a {@link QuietPeriod}. Connections
 * belong to a server, not to its address: a server that takes over an address does not get its predecessor's
 * connections. Only the event loop's thread uses it.
 *
 * <p>HttpCore's own requester is not used: it leaves the connect timeout in force as read timeout, and loads the
 * system's trust store at each start.
 */
final class ConnectionPool {

    /**
     * Share of the servers' idle timeout after which a connection is closed, so that no request is sent while the
     * server closes it.
     */
    private static final double IDLE_TIMEOUT_SHARE = 0.75;
    /** Share of the sockets that is reserved for those being closed, which still hold descriptors. */
    private static final double CLOSING_SHARE = 0.1;

    private static final Timeout LOCK_TIMEOUT = Timeout.ofSeconds(1);

    private final EventLoop loop;
    private final Clock clock;
    private final SocketLimit sockets;
    private final StrictConnPool<Backend.Server, ServerConnection> pool;
    private final Timeout connectTimeout;
    private final Timeout idleTimeout;
    private final QuietPeriod quietPeriod;

    /**
     * Creates an empty pool.
     *
     * @param sockets limits the sockets, to {@link ConnectionLimits#maxConnections}
     */
    ConnectionPool(EventLoop loop, Clock clock, SocketLimit sockets, ConnectionLimits limits) {
        this.loop = loop;
        this.clock = clock;
        this.sockets = sockets;
        int pooled = (int) Math.ceil(limits.maxConnections() * (1 - CLOSING_SHARE));
        this.pool = new StrictConnPool<>(pooled, pooled, TimeValue.NEG_ONE_MILLISECOND, PoolReusePolicy.LIFO, null);
        this.connectTimeout = Timeout.ofMilliseconds((long) Math.max(1, limits.connectTimeoutMs()));
        this.idleTimeout = Timeout.ofMilliseconds((long) Math.max(1, limits.idleMs() * IDLE_TIMEOUT_SHARE));
        this.quietPeriod = new QuietPeriod(clock, limits.quietMs());
    }

    /**
     * Leases an idle connection whose quiet period is over at once; else the one whose quiet period ends first, when it
     * has ended, if that is worth the wait or the pool is full; else a new one. Fails if the connection cannot be
     * established or no socket is available.
     */
    void lease(Backend.Server server, FutureCallback<PoolEntry<Backend.Server, ServerConnection>> leased) {
        quietPeriod.endExpired();
        boolean onlyQuiet = pool.getStats(server).getAvailable() <= quietPeriod.count(server);
        QuietPeriod.Quiet quiet = onlyQuiet ? takeQuiet(server) : null;
        Future<PoolEntry<Backend.Server, ServerConnection>> lease = pool.lease(server, quiet, LOCK_TIMEOUT, null);
        if (!lease.isDone()) {
            // The pool would queue the attempt beyond its deadline.
            lease.cancel(true);
            leased.failed(new IOException(noSocketMessage(server)));
            return;
        }
        PoolEntry<Backend.Server, ServerConnection> entry;
        try {
            entry = lease.get();
        } catch (ExecutionException | InterruptedException rejected) {
            leased.failed(new IOException(noSocketMessage(server), rejected));
            return;
        }
        if (entry.hasConnection() && !entry.getConnection().isOpen()) {
            entry.discardConnection(CloseMode.IMMEDIATE);
        }
        if (!entry.hasConnection()) {
            connect(server, entry, leased);
            return;
        }
        entry.getConnection().setTimeout(Timeout.DISABLED);
        if (quiet != null && entry.getState() == quiet) {
            completeAfter(quiet, entry, leased);
        } else {
            leased.completed(entry);
        }
    }

    /** Takes the connection to wait for; null if a new one is to be opened. */
    private QuietPeriod.Quiet takeQuiet(Backend.Server server) {
        QuietPeriod.Quiet first = quietPeriod.first(server);
        if (first == null || !quietPeriod.isWorthWaiting(first) && !isFull()) {
            return null;
        }
        quietPeriod.onLeased(first);
        return first;
    }

    private boolean isFull() {
        PoolStats stats = pool.getTotalStats();
        return stats.getLeased() + stats.getAvailable() >= stats.getMax();
    }

    private void completeAfter(
            QuietPeriod.Quiet quiet,
            PoolEntry<Backend.Server, ServerConnection> entry,
            FutureCallback<PoolEntry<Backend.Server, ServerConnection>> leased) {
        double remainingMs = quietPeriod.remainingMs(quiet);
        // A connection that has closed meanwhile is not worth a wait; the attempt then leases another one.
        if (remainingMs > 0 && entry.getConnection().isOpen()) {
            loop.schedule(remainingMs, () -> completeAfter(quiet, entry, leased));
        } else {
            quietPeriod.end(quiet);
            leased.completed(entry);
        }
    }

    /**
     * Connects as soon as a socket is available. A socket that has just been closed becomes available within two
     * rounds; the pool is smaller than the limit, so this always happens.
     */
    private void connect(
            Backend.Server server,
            PoolEntry<Backend.Server, ServerConnection> entry,
            FutureCallback<PoolEntry<Backend.Server, ServerConnection>> leased) {
        URIAuthority authority = authority(server.address());
        sockets.acquireThenRun(() -> open(server, authority, entry, leased));
    }

    private void open(
            Backend.Server server,
            URIAuthority authority,
            PoolEntry<Backend.Server, ServerConnection> entry,
            FutureCallback<PoolEntry<Backend.Server, ServerConnection>> leased) {
        ServerConnection connection = new ServerConnection(server, clock, sockets, quietPeriod::onUnexpectedInput);
        loop.connect(
                authority,
                new InetSocketAddress(authority.getHostName(), authority.getPort()),
                connectTimeout,
                connection,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        session.setSocketTimeout(Timeout.DISABLED);
                        entry.assignConnection(connection);
                        leased.completed(entry);
                    }

                    @Override
                    public void failed(Exception cause) {
                        sockets.onSocketClosed();
                        discard(entry);
                        leased.failed(cause);
                    }

                    @Override
                    public void cancelled() {
                        failed(new IOException("connection attempt was cancelled"));
                    }
                });
    }

    private static String noSocketMessage(Backend.Server server) {
        return "connection limit reached, no socket available for " + server.address();
    }

    private static URIAuthority authority(String address) {
        try {
            return URIAuthority.create(address);
        } catch (URISyntaxException malformed) {
            throw new IllegalArgumentException("invalid server address, expected host:port: " + address);
        }
    }

    /** Returns a connection that has received a response and may be used again after its quiet period. */
    void release(PoolEntry<Backend.Server, ServerConnection> entry) {
        quietPeriod.begin(entry);
        returnOpen(entry);
    }

    /** Returns a connection on which nothing was written since it was leased. */
    void returnUnused(PoolEntry<Backend.Server, ServerConnection> entry) {
        returnOpen(entry);
    }

    private void returnOpen(PoolEntry<Backend.Server, ServerConnection> entry) {
        ServerConnection connection = entry.getConnection();
        boolean open = connection != null && connection.isOpen();
        if (open) {
            // Applies only while the connection is idle: attempts have their own timeouts, which may be longer.
            connection.setTimeout(idleTimeout);
            connection.onIdle();
        }
        entry.updateExpiry(idleTimeout);
        pool.release(entry, open);
    }

    /** Closes a connection at once; nothing more is read from it. */
    void discard(PoolEntry<Backend.Server, ServerConnection> entry) {
        // IMMEDIATE would reset the TCP connection and so discard bytes that have not been sent yet.
        entry.discardConnection(CloseMode.GRACEFUL);
        pool.release(entry, false);
    }

    /** Closes idle connections to a server, and removes those to any server that have closed by themselves. */
    void closeIdle(Backend.Server server) {
        pool.enumAvailable(entry -> {
            if (entry.getRoute().equals(server) || !entry.getConnection().isOpen()) {
                entry.discardConnection(CloseMode.IMMEDIATE);
            }
        });
    }
}
