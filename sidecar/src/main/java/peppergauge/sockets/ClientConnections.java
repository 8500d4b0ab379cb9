package peppergauge.sockets;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import peppergauge.log.Log;
import peppergauge.overload.BackgroundTask;
import peppergauge.overload.ConnectionEvictionPolicy;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;

/**
 * All clients' connections, of every protocol, and room for new ones: who is accepted when, and whose connection goes
 * for it. All but {@link #pass} runs on the loop's thread.
 */
public final class ClientConnections implements EventLoop.AcceptGate {

    private static final long LOOK_FOR_ROOM_MS = 2;
    /** Places made at once of those that no usual client holds: a crowd fills the kernel's queue, and so before it. */
    private static final int PLACES_AT_ONCE = 16;

    /** Share of the places that connections may hold which asked once and are kept for nothing. */
    private static final double ONCE_SHARE = 0.25;

    private final EventLoop loop;
    private final SocketLimit room;
    private final Clock clock;
    private final OverloadController<EvictableConnection, ?> overload;
    private final ConnectionEvictionPolicy<EvictableConnection> claims;
    private final Set<EvictableConnection> open = new LinkedHashSet<>();
    /** Connections that asked once and are idle; more of them are closed before their time. */
    private final int mostOnce;
    /** Accepted connections that wait for their place here, or have it and are not up yet. */
    private final AtomicInteger arriving = new AtomicInteger();

    private Runnable whenNoneIsOpen;

    /** {@code places}: connections that clients may hold together; each is a descriptor. */
    public ClientConnections(
            EventLoop loop, int places, Clock clock, OverloadController<EvictableConnection, ?> overload) {
        this.mostOnce = (int) (places * ONCE_SHARE);
        this.loop = loop;
        this.room = new SocketLimit(places, loop);
        this.clock = clock;
        this.overload = overload;
        this.claims = overload.connectionEviction();
    }

    /**
     * Called for each accepted connection, on the thread that accepts: it waits here for its turn, and for room, which
     * is made by closing those with the least claim. HttpCore's listener accepts all that comes, and a descriptor too
     * many ends it for good; those who wait meanwhile stand in the kernel's queue.
     */
    @Override
    public void awaitCapacity() throws InterruptedException {
        arriving.incrementAndGet();
        for (double ms = overload.acceptRateLimiter().acquireOrWaitMs(clock.nowMs());
                ms > 0;
                ms = overload.acceptRateLimiter().acquireOrWaitMs(clock.nowMs())) {
            Thread.sleep((long) Math.ceil(ms));
        }
        if (!room.tryAcquire()) {
            do {
                loop.execute(this::makeRoom);
            } while (!room.tryAcquire(LOOK_FOR_ROOM_MS));
        }
    }

    /** At the end of a round: what came in during a pause has been read by then, and counts for its connection. */
    private void makeRoom() {
        int made = 0;
        double now = clock.nowMs();
        while (made == 0 || made < PLACES_AT_ONCE && claims.hasLowPriorityConnection(now)) {
            EvictableConnection least = claims.nextToEvict(now);
            if (least == null) {
                return;
            }
            if (least.evict()) {
                made++;
                Log.line("crowded", "an idle connection was closed for a new one");
            }
        }
    }

    /** A connection that passed here is up. */
    public void onOpened(EvictableConnection connection) {
        boolean fresh = open.add(connection);
        assert fresh : "a connection came up twice: " + connection;
        arriving.decrementAndGet();
        claims.onOpened(connection, clock.nowMs());
    }

    /** Bytes of a request came in on it. */
    public void onReading(EvictableConnection connection) {
        claims.onBytesRead(connection, clock.nowMs());
    }

    /** A request is whole; an answer is owed from now on. */
    public void onRequestReceived(EvictableConnection connection) {
        claims.onRequestReceived(connection);
    }

    /** An answer is written; {@code session}: not one to what could not be used. */
    public void onResponseSent(EvictableConnection connection, boolean session) {
        double now = clock.nowMs();
        claims.onResponseSent(connection, now, session);
        for (EvictableConnection spare = claims.nextSurplus(now, mostOnce);
                spare != null;
                spare = claims.nextSurplus(now, mostOnce)) {
            spare.closeIfIdle();
        }
    }

    /** It is over, by whichever side; to be told once. */
    public void onClosed(EvictableConnection connection) {
        boolean was = open.remove(connection);
        assert was : "over twice, or never up: " + connection;
        claims.onClosed(connection);
        room.onSocketClosed();
        checkNoneIsOpen();
    }

    /** Whether connections that are idle, not for lack of room, are to be closed just now. */
    public boolean mayCloseIdleNow() {
        return overload.isAllowed(clock.nowMs(), BackgroundTask.IDLE_CONNECTION_SWEEP);
    }

    /** Closes what is idle; each other connection closes after its answers. */
    public void closeIdle() {
        new ArrayList<>(open).forEach(EvictableConnection::closeIfIdle);
    }

    /**
     * Runs a task as soon as no connection is open and no accepted one is on its way here: nothing can be owed to a
     * client then. Where the listener is closed nothing can be asked any more either.
     */
    public void whenAllClosed(Runnable task) {
        whenNoneIsOpen = task;
        checkNoneIsOpen();
    }

    private void checkNoneIsOpen() {
        if (whenNoneIsOpen != null && open.isEmpty() && arriving.get() == 0) {
            Runnable task = whenNoneIsOpen;
            whenNoneIsOpen = null;
            task.run();
        }
    }
}
