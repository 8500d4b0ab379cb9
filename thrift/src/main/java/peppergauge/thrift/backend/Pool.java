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
import peppergauge.request.Backend;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.SocketLimit;
import peppergauge.thrift.wire.Bounds;
import peppergauge.thrift.wire.Form;

/**
 * Connections to Thrift servers, the most recently used first; a server that comes at the address of another gets none
 * of the other's. Only the loop's thread comes here.
 */
final class Pool {

    /** Share of the idle time after which the server may close: a margin, or a call could cross its close. */
    private static final double IDLE_SHARE = 0.75;
    /** Share of the places that is left to sockets being closed, which still hold descriptors for a moment. */
    private static final double CLOSING_SHARE = 0.1;

    private static final int READ_AT_ONCE = 8 * 1024;

    /** One for all connections: only the loop's thread reads. */
    private final ByteBuffer input = ByteBuffer.allocate(READ_AT_ONCE);

    private final EventLoop loop;
    private final SocketLimit room;
    private final Form form;
    private final Bounds bounds;
    private final int most;
    private final Timeout connectTimeout;
    private final Timeout idleTimeout;
    private final Map<Backend.Server, Deque<ServerConnection>> idle = new HashMap<>();
    /** All idle ones, the longest idle first. */
    private final Set<ServerConnection> byAge = new LinkedHashSet<>();

    private int open;

    /** Who asked for a connection; one of the two is called, once. */
    interface Leased {

        void up(ServerConnection connection);

        void failed(Exception cause);
    }

    Pool(EventLoop loop, Form form, Bounds bounds, int places, double connectTimeoutMs, double idleMs) {
        this.loop = loop;
        this.room = new SocketLimit(places, loop);
        this.form = form;
        this.bounds = bounds;
        this.most = (int) Math.ceil(places * (1 - CLOSING_SHARE));
        this.connectTimeout = Timeout.ofMilliseconds((long) Math.max(1, connectTimeoutMs));
        this.idleTimeout = Timeout.ofMilliseconds((long) Math.max(1, idleMs * IDLE_SHARE));
    }

    ByteBuffer input() {
        return input;
    }

    /** Hands on an open connection, at once if one is idle; fails if none comes up or no socket is left. */
    void lease(Backend.Server server, Leased leased) {
        Deque<ServerConnection> there = idle.get(server);
        ServerConnection last = there == null ? null : there.peekLast();
        if (last != null) {
            takeOut(last);
            last.setTimeout(Timeout.DISABLED);
            leased.up(last);
            return;
        }
        if (open >= most && !byAge.isEmpty()) {
            byAge.iterator().next().close();
        }
        if (open >= most || !room.tryAcquire()) {
            leased.failed(new IOException("no socket left"));
            return;
        }
        open++;
        connect(server, leased);
    }

    private void connect(Backend.Server server, Leased leased) {
        ServerConnection connection = new ServerConnection(server, this, form, bounds);
        URIAuthority to = authority(server.address());
        loop.connect(
                to,
                new InetSocketAddress(to.getHostName(), to.getPort()),
                connectTimeout,
                connection,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession up) {
                        up.setSocketTimeout(Timeout.DISABLED);
                        leased.up(connection);
                    }

                    @Override
                    public void failed(Exception cause) {
                        open--;
                        room.onSocketClosed();
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

    /** Nothing is out on it any more, and it may be used again. */
    void reuse(ServerConnection connection) {
        if (connection.isOpen()) {
            // Only while it is idle: an attempt has a timer of its own, and may well take longer.
            connection.setTimeout(idleTimeout);
            idle.computeIfAbsent(connection.server(), fresh -> new ArrayDeque<>())
                    .addLast(connection);
            byAge.add(connection);
        }
    }

    /** It is closed, or about to be: its place is another's, if not yet its descriptor. May be told again. */
    void closing(ServerConnection connection) {
        takeOut(connection);
        open -= connection.uncount() ? 1 : 0;
    }

    private void takeOut(ServerConnection connection) {
        if (byAge.remove(connection)) {
            Deque<ServerConnection> there = idle.get(connection.server());
            there.remove(connection);
            if (there.isEmpty()) {
                idle.remove(connection.server());
            }
        }
    }

    /** A connection that was up has ended; to be told once. */
    void ended(ServerConnection connection) {
        closing(connection);
        room.onSocketClosed();
    }

    /** Drops what is idle there. */
    void forget(Backend.Server server) {
        Deque<ServerConnection> there = idle.get(server);
        if (there != null) {
            new ArrayDeque<>(there).forEach(ServerConnection::close);
        }
    }
}
