package peppergauge.frontend;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import peppergauge.log.Log;
import peppergauge.overload.Claims;
import peppergauge.overload.Extra;
import peppergauge.overload.Overload;
import peppergauge.session.Clock;
import peppergauge.sockets.Claimant;
import peppergauge.sockets.Loop;
import peppergauge.sockets.SocketRoom;

/** All clients' connections, and room for new ones. All but {@link #pass} runs on the loop's thread. */
final class ClientConnections implements Loop.Gate {

    private static final long LOOK_FOR_ROOM_MS = 10;

    private final Loop loop;
    private final SocketRoom room;
    private final Clock clock;
    private final Overload<Claimant, ?> overload;
    private final Claims<Claimant> claims;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    private Runnable whenWritten;

    ClientConnections(Loop loop, SocketRoom room, Clock clock, Overload<Claimant, ?> overload) {
        this.loop = loop;
        this.room = room;
        this.clock = clock;
        this.overload = overload;
        this.claims = overload.claims();
    }

    /**
     * Called for each accepted connection, on the thread that accepts: it waits here for its turn, and for room, which
     * is made by closing those with the least claim. HttpCore's listener accepts all that comes, and a descriptor too
     * many ends it for good; those who wait meanwhile stand in the kernel's queue.
     */
    @Override
    public void pass() throws InterruptedException {
        for (double ms = overload.accepts().waitMs(clock.nowMs()); ms > 0;
                ms = overload.accepts().waitMs(clock.nowMs())) {
            Thread.sleep((long) Math.ceil(ms));
        }
        if (!room.take()) {
            do {
                loop.execute(this::makeRoom);
            } while (!room.take(LOOK_FOR_ROOM_MS));
        }
    }

    /** At the end of a round: what came in during a pause has been read by then, and counts for its connection. */
    private void makeRoom() {
        for (Claimant least = claims.nextToClose(clock.nowMs()); least != null;
                least = claims.nextToClose(clock.nowMs())) {
            if (least.closeIfIdle()) {
                Log.line("crowded", "an idle connection was closed for a new one");
                return;
            }
        }
    }

    void opened(ClientConnection connection) {
        open.add(connection);
        claims.opened(connection, clock.nowMs());
    }

    void reading(ClientConnection connection) {
        claims.reading(connection, clock.nowMs());
    }

    void whole(ClientConnection connection) {
        claims.whole(connection);
    }

    void answered(ClientConnection connection, boolean session) {
        claims.answered(connection, clock.nowMs(), session);
        checkWritten();
    }

    void closed(ClientConnection connection) {
        open.remove(connection);
        claims.closed(connection);
        room.closed();
        checkWritten();
    }

    /** Whether connections that are idle, not for lack of room, are to be closed just now. */
    boolean sweeps() {
        return overload.runs(clock.nowMs(), Extra.IDLE_SWEEP);
    }

    /** Closes what is idle; each other connection closes after its answers. */
    void closeIdle() {
        new ArrayList<>(open).forEach(ClientConnection::closeIfIdle);
    }

    /** Runs a task as soon as every answer that was given is written. */
    void whenWritten(Runnable task) {
        whenWritten = task;
        checkWritten();
    }

    private void checkWritten() {
        if (whenWritten != null && open.stream().allMatch(ClientConnection::isWritten)) {
            whenWritten.run();
            whenWritten = null;
        }
    }
}
