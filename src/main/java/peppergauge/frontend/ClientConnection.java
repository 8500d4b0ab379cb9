package peppergauge.frontend;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.log.Log;
import peppergauge.session.Sessions;

/** A client's connection: which of its requests wait for answers, and how long it may take to send one. */
final class ClientConnection {

    /** A request must be whole so soon after its first byte; slow senders would hold sockets for nothing. */
    private static final double LONGEST_SENDING_MS = 5_000;

    private final IOSession connection;
    private final Sessions sessions;
    /** Past the cap on connections each request is denied and the connection closed. */
    private final boolean crowded;
    private final Set<SessionHandler> waiting = new LinkedHashSet<>();
    private Future<?> sending;
    private boolean gone;

    ClientConnection(IOSession connection, Sessions sessions, boolean crowded) {
        this.connection = connection;
        this.sessions = sessions;
        this.crowded = crowded;
    }

    boolean crowded() {
        return crowded;
    }

    /** Bytes came in; the first after a whole request begin the next one. */
    synchronized void reading() {
        if (sending == null && !gone) {
            sending = sessions.after(LONGEST_SENDING_MS, () -> {
                Log.line("slow sender", "a request was not whole after " + LONGEST_SENDING_MS + " ms");
                connection.close(CloseMode.IMMEDIATE);
            });
        }
    }

    synchronized void requestWhole() {
        if (sending != null) {
            sending.cancel(false);
            sending = null;
        }
    }

    synchronized void waits(SessionHandler handler) {
        waiting.add(handler);
    }

    synchronized void answered(SessionHandler handler) {
        waiting.remove(handler);
    }

    /**
     * The client closed: nobody waits for what is still out. HttpCore would keep this end open until an answer
     * is written, and its client's sessions get none.
     */
    void gone() {
        List<SessionHandler> left;
        connection.close(CloseMode.GRACEFUL);
        synchronized (this) {
            gone = true;
            requestWhole();
            left = List.copyOf(waiting);
            waiting.clear();
        }
        left.forEach(SessionHandler::clientGone);
    }
}
