package peppergauge.sockets;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import peppergauge.log.Log;
import peppergauge.overload.BackgroundTask;
import peppergauge.overload.ConnectionEvictionPolicy;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;

/**
 * The connections of all clients, of every protocol: limits how many are open, delays accepting, and evicts connections
 * in favor of new ones. All methods but {@link #awaitCapacity} run on the event loop's thread.
 */
public final class ClientConnections implements EventLoop.AcceptGate {

    private static final long CAPACITY_POLL_MS = 2;
    private static final int DISCARD_BUFFER_BYTES = 16 * 1024;
    /** Places made in advance in a surge of new connections, which would overflow the kernel's accept queue. */
    private static final int MAX_SPARE_PLACES = 16;
    /** Maximum share of the limit for idle connections that have had a single request. */
    private static final double SINGLE_REQUEST_SHARE = 0.25;

    private final EventLoop loop;
    private final SocketLimit sockets;
    private final Clock clock;
    private final OverloadController<EvictableConnection, ?> overload;
    private final ConnectionEvictionPolicy<EvictableConnection> eviction;
    private final Set<EvictableConnection> open = new LinkedHashSet<>();
    /** Open connections that were evicted, until the reactor reports that they are closed. */
    private final Set<EvictableConnection> evicted = new HashSet<>();

    private final int maxSingleRequest;
    /** Number of accepted connections that are not open yet: in {@link #awaitCapacity} or between it and onOpened. */
    private final AtomicInteger accepted = new AtomicInteger();
    /** Number of accepted connections that wait for a place. */
    private final AtomicInteger waiting = new AtomicInteger();
    /** Whether {@link #evictForCapacity} is submitted and has not run: a late loop must not evict for each poll. */
    private final AtomicBoolean evictionSubmitted = new AtomicBoolean();

    private final InputBacklog backlog;
    /** Receives input that is discarded. */
    private final ByteBuffer discarded = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);

    private Runnable whenAllClosed;

    /**
     * Creates an empty set of connections.
     *
     * @param limit maximum number of open connections, each of which holds a descriptor
     */
    public ClientConnections(
            EventLoop loop, int limit, Clock clock, OverloadController<EvictableConnection, ?> overload) {
        this.maxSingleRequest = (int) (limit * SINGLE_REQUEST_SHARE);
        this.loop = loop;
        this.sockets = new SocketLimit(limit, loop);
        this.clock = clock;
        this.overload = overload;
        this.eviction = overload.connectionEviction();
        this.backlog = new InputBacklog(loop, clock::nowMs);
    }

    /**
     * Blocks the accepting thread until an accepted connection may be opened, and has connections evicted if the limit
     * is reached. Further clients wait in the kernel's accept queue.
     */
    @Override
    public void awaitCapacity() throws InterruptedException {
        accepted.incrementAndGet();
        for (double ms = overload.acceptRateLimiter().acquireOrWaitMs(clock.nowMs());
                ms > 0;
                ms = overload.acceptRateLimiter().acquireOrWaitMs(clock.nowMs())) {
            Thread.sleep((long) Math.ceil(ms));
        }
        if (!sockets.tryAcquire()) {
            waiting.incrementAndGet();
            try {
                do {
                    if (evictionSubmitted.compareAndSet(false, true)) {
                        loop.execute(this::evictForCapacity);
                    }
                } while (!sockets.tryAcquire(CAPACITY_POLL_MS));
            } finally {
                waiting.decrementAndGet();
            }
        }
    }

    /** Gives back the place of an accepted connection that could not be opened. */
    @Override
    public void onOpenFailed() {
        accepted.decrementAndGet();
        releasePlace();
    }

    /** Evicts an idle connection: its descriptor may be what accepting lacks. */
    @Override
    public void onAcceptFailed() {
        if (evictionSubmitted.compareAndSet(false, true)) {
            loop.execute(this::evictForAccept);
        }
    }

    private void evictForAccept() {
        evictionSubmitted.set(false);
        double now = clock.nowMs();
        EvictableConnection next = eviction.nextToEvict(now);
        if (next != null) {
            evict(next, now);
        }
    }

    /** Evicts connections; runs at the end of a round, after pending input has been read. */
    private void evictForCapacity() {
        evictionSubmitted.set(false);
        if (waiting.get() == 0) {
            return;
        }
        double now = clock.nowMs();
        while (placesOnTheWay() < MAX_SPARE_PLACES) {
            EvictableConnection next = mayEvictServed() ? eviction.nextToEvict(now) : eviction.nextUnservedToEvict(now);
            if (next == null) {
                return;
            }
            evict(next, now);
        }
    }

    private void evict(EvictableConnection next, double nowMs) {
        ConnectionEvictionPolicy.IdleState idle = eviction.lastIdle(next);
        evicted.add(next);
        if (next.evict()) {
            logEviction(idle, nowMs);
        } else {
            evicted.remove(next);
        }
    }

    /** Number of places that are free, or will be once the sockets of evicted connections are released. */
    private int placesOnTheWay() {
        return sockets.freeOrClosed() + evicted.size();
    }

    /**
     * Whether a client that was served may be evicted: only for a place that is needed now, and not while accepted
     * connections are about to be opened, which have no request yet.
     */
    private boolean mayEvictServed() {
        boolean isAnyOpening = accepted.get() > waiting.get();
        return !isAnyOpening && placesOnTheWay() < waiting.get();
    }

    /** Evictions of clients that were served have an event of their own: the others are more, and limited in rate. */
    private void logEviction(ConnectionEvictionPolicy.IdleState idle, double nowMs) {
        Log.event(
                idle.idleClass().isServed() ? "served_connection_evicted" : "connection_evicted",
                "class",
                idle.idleClass().name().toLowerCase(Locale.ROOT),
                "idle_ms",
                Math.round(nowMs - idle.sinceMs()),
                "open",
                open.size(),
                "accepted",
                accepted.get());
    }

    /** Lets a connection whose input was held back read on, after others that wait for it. */
    void readLater(Runnable turn) {
        backlog.add(turn);
    }

    /** Returns the empty buffer for input that is discarded. */
    ByteBuffer discardBuffer() {
        return discarded.clear();
    }

    /** Called when a connection that passed {@link #awaitCapacity} is open. */
    public void onOpened(EvictableConnection connection) {
        boolean added = open.add(connection);
        assert added : "a connection was opened twice: " + connection;
        accepted.decrementAndGet();
        eviction.onOpened(connection, clock.nowMs());
    }

    /** Called when the first bytes of a request have been received. */
    public void onReading(EvictableConnection connection) {
        eviction.onBytesRead(connection, clock.nowMs());
    }

    /** Called when a request has been received; its response is pending. */
    public void onRequestReceived(EvictableConnection connection) {
        eviction.onRequestReceived(connection);
    }

    /**
     * Called when a response is completely written.
     *
     * @param dispatched whether its request was dispatched, rather than rejected before
     */
    public void onResponseSent(EvictableConnection connection, boolean dispatched) {
        double now = clock.nowMs();
        eviction.onResponseSent(connection, now, dispatched);
        for (EvictableConnection spare = eviction.nextSurplus(now, maxSingleRequest);
                spare != null;
                spare = eviction.nextSurplus(now, maxSingleRequest)) {
            spare.closeIfIdle();
        }
    }

    /** Called once per connection, when either side has closed it. */
    public void onClosed(EvictableConnection connection) {
        boolean removed = open.remove(connection);
        assert removed : "a connection ended twice, or was never opened: " + connection;
        evicted.remove(connection);
        eviction.onClosed(connection);
        releasePlace();
    }

    private void releasePlace() {
        sockets.onSocketClosed();
        checkAllClosed();
    }

    /** Whether idle connections may be closed now; during overload this is deferred. */
    public boolean mayCloseIdleNow() {
        return overload.isAllowed(clock.nowMs(), BackgroundTask.IDLE_CONNECTION_SWEEP);
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        new ArrayList<>(open).forEach(EvictableConnection::closeIfIdle);
    }

    /**
     * Runs a task once no connection is open and no accepted connection is about to be opened. If the listener is
     * closed, no request can arrive after that.
     */
    public void whenAllClosed(Runnable task) {
        whenAllClosed = task;
        checkAllClosed();
    }

    private void checkAllClosed() {
        if (whenAllClosed != null && open.isEmpty() && accepted.get() == 0) {
            Runnable task = whenAllClosed;
            whenAllClosed = null;
            task.run();
        }
    }
}
