package peppergauge.frontend;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.reactor.IOWorkerSelector;
import org.apache.hc.core5.reactor.IOWorkerStats;
import org.apache.hc.core5.util.Identifiable;
import peppergauge.log.Log;
import peppergauge.session.Sessions;
import peppergauge.sockets.SocketRoom;

/**
 * All clients' connections, as the reactor reports them. HttpCore tells an exchange nothing of its client's
 * leaving: at the end of its stream the connection only stops being open, which is looked for here.
 */
final class ClientConnections implements IOSessionListener, IOWorkerSelector, Http1StreamListener {

    /** A connection that came or was answered just now may have a request under way; it is not closed for room. */
    private static final long FRESH_NS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long LOOK_FOR_ROOM_MS = 10;

    private final Sessions sessions;
    private final SocketRoom room;
    private final Map<String, ClientConnection> byId = new ConcurrentHashMap<>();
    /** Connections with no request, the longest idle first, and since when they are. */
    private final Map<ClientConnection, Long> idle = new LinkedHashMap<>();
    /** Set once this side closes connections: one that is no longer open then tells nothing of its client. */
    private volatile boolean windingDown;
    /** The connection whose input is being handled; there is one I/O thread, on which all of this runs. */
    private ClientConnection current;

    ClientConnections(Sessions sessions, SocketRoom room) {
        this.sessions = sessions;
        this.room = room;
    }

    void windDown() {
        windingDown = true;
    }

    ClientConnection current() {
        return current;
    }

    /**
     * Called for each accepted connection, on the thread that accepts: it waits here for room, made by closing
     * what is idle longest. HttpCore's listener accepts all that comes, and a descriptor too many ends it for
     * good; those who wait meanwhile stand in the kernel's queue.
     */
    @Override
    public int select(IOWorkerStats[] workers) {
        try {
            if (!room.take()) {
                do {
                    closeLongestIdle();
                } while (!room.take(LOOK_FOR_ROOM_MS));
            }
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    private void closeLongestIdle() {
        ClientConnection longest = null;
        synchronized (idle) {
            var first = idle.entrySet().iterator();
            if (first.hasNext()) {
                Map.Entry<ClientConnection, Long> entry = first.next();
                if (System.nanoTime() - entry.getValue() > FRESH_NS) {
                    longest = entry.getKey();
                    first.remove();
                }
            }
        }
        if (longest != null) {
            Log.line("crowded", "an idle connection was closed for a new one");
            longest.closeIdle();
        }
    }

    void idle(ClientConnection connection) {
        synchronized (idle) {
            idle.put(connection, System.nanoTime());
        }
    }

    void busy(ClientConnection connection) {
        synchronized (idle) {
            idle.remove(connection);
        }
    }

    @Override
    public void connected(IOSession session) {
        ClientConnection connection = new ClientConnection(session, sessions, this);
        byId.put(session.getId(), connection);
        connection.opened();
    }

    @Override
    public void inputReady(IOSession session) {
        current = byId.get(session.getId());
        if (current != null) {
            current.reading();
        }
    }

    @Override
    public void outputReady(IOSession session) {
        ClientConnection connection = byId.get(session.getId());
        boolean open = !(session.getHandler() instanceof HttpConnection http) || http.isOpen();
        if (connection != null && !open && !windingDown && !connection.closingHere()) {
            connection.gone();
        }
    }

    @Override
    public void disconnected(IOSession session) {
        ClientConnection connection = byId.remove(session.getId());
        if (connection != null) {
            connection.gone();
            room.closed();
        }
    }

    @Override
    public void onRequestHead(HttpConnection connection, HttpRequest request) {
        // The exchange's handler reads it.
    }

    @Override
    public void onResponseHead(HttpConnection connection, HttpResponse response) {
        ClientConnection client = byId.get(((Identifiable) connection).getId());
        Header option = response.getFirstHeader("Connection");
        if (client != null) {
            client.answering(option != null && "close".equals(option.getValue()));
        }
    }

    @Override
    public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
        ClientConnection client = byId.get(((Identifiable) connection).getId());
        if (client != null) {
            client.answerWritten();
        }
    }

    @Override
    public void timeout(IOSession session) {
        // The connection was idle for too long; HttpCore closes it.
    }

    @Override
    public void startTls(IOSession session) {
        // Plain TCP only.
    }

    @Override
    public void exception(IOSession session, Exception cause) {
        // A broken connection is an ordinary end; disconnected follows.
    }
}
