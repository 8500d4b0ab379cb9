package peppergauge.frontend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import peppergauge.log.Log;
import peppergauge.sockets.Loop;
import peppergauge.sockets.SocketRoom;

/** All clients' connections, and room for new ones. All but {@link #pass} runs on the loop's thread. */
final class ClientConnections implements Loop.Gate {

    /** A connection that came or was answered just now may have a request under way; it is not closed for room. */
    private static final long FRESH_NS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long LOOK_FOR_ROOM_MS = 10;

    private final Loop loop;
    private final SocketRoom room;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /** Connections with no request, the longest idle first, and since when they are. */
    private final Map<ClientConnection, Long> idle = new LinkedHashMap<>();
    private Runnable whenWritten;

    ClientConnections(Loop loop, SocketRoom room) {
        this.loop = loop;
        this.room = room;
    }

    /**
     * Called for each accepted connection, on the thread that accepts: it waits here for room, made by closing
     * what is idle longest. HttpCore's listener accepts all that comes, and a descriptor too many ends it for
     * good; those who wait meanwhile stand in the kernel's queue.
     */
    @Override
    public void pass() throws InterruptedException {
        if (!room.take()) {
            do {
                loop.execute(this::closeLongestIdle);
            } while (!room.take(LOOK_FOR_ROOM_MS));
        }
    }

    private void closeLongestIdle() {
        var first = idle.entrySet().iterator();
        while (first.hasNext()) {
            Map.Entry<ClientConnection, Long> entry = first.next();
            if (System.nanoTime() - entry.getValue() <= FRESH_NS) {
                return;
            }
            first.remove();
            if (entry.getKey().closeIfIdle()) {
                Log.line("crowded", "an idle connection was closed for a new one");
                return;
            }
            first = idle.entrySet().iterator();
        }
    }

    void opened(ClientConnection connection) {
        open.add(connection);
        idle(connection);
    }

    void idle(ClientConnection connection) {
        idle.remove(connection);
        idle.put(connection, System.nanoTime());
    }

    void busy(ClientConnection connection) {
        idle.remove(connection);
    }

    void closed(ClientConnection connection) {
        open.remove(connection);
        room.closed();
        checkWritten();
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

    void checkWritten() {
        if (whenWritten != null && open.stream().allMatch(ClientConnection::isWritten)) {
            whenWritten.run();
            whenWritten = null;
        }
    }
}
