package peppergauge.frontend;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.log.Log;
import peppergauge.session.Sessions;

/**
 * A client's connection: which of its requests wait for answers, and how long it may take to send one. While no
 * session is open on it one timer runs: it is cut off when a request is not whole in time or none comes.
 */
final class ClientConnection {

    /** A request must be whole so soon after connecting, or after its first byte on a connection in use. */
    private static final double LONGEST_SENDING_MS = 2_500;
    /** Clients that ask once and keep their connection for good would use up the descriptors. */
    private static final double LONGEST_IDLE_MS = 2_500;

    private final IOSession connection;
    private final Sessions sessions;
    private final ClientConnections all;
    private final Set<SessionHandler> waiting = new LinkedHashSet<>();
    private Future<?> timer;
    private boolean first = true;
    private boolean sending;
    private boolean gone;

    ClientConnection(IOSession connection, Sessions sessions, ClientConnections all) {
        this.connection = connection;
        this.sessions = sessions;
        this.all = all;
    }

    /** The time for the first request runs from here: a client that says nothing holds a descriptor too. */
    synchronized void opened() {
        startTimer(LONGEST_SENDING_MS);
        all.idle(this);
    }

    /** Bytes came in; the first after a whole request begin the next one. */
    synchronized void reading() {
        if (!sending && !gone) {
            sending = true;
            all.busy(this);
            if (!first) {
                startTimer(LONGEST_SENDING_MS);
            }
        }
    }

    private void startTimer(double ms) {
        stopTimer();
        timer = sessions.after(ms, () -> cutOff(ms));
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void cutOff(double afterMs) {
        boolean slow;
        synchronized (this) {
            slow = sending;
        }
        if (slow) {
            Log.line("slow sender", "a request was not whole after " + afterMs + " ms");
        }
        close();
    }

    void close() {
        connection.close(CloseMode.GRACEFUL);
    }

    synchronized void requestWhole() {
        first = false;
        sending = false;
        stopTimer();
    }

    synchronized void waits(SessionHandler handler) {
        waiting.add(handler);
    }

    synchronized void answered(SessionHandler handler) {
        waiting.remove(handler);
        if (waiting.isEmpty() && !sending && !gone) {
            startTimer(LONGEST_IDLE_MS);
            all.idle(this);
        }
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
            all.busy(this);
            left = List.copyOf(waiting);
            waiting.clear();
        }
        left.forEach(SessionHandler::clientGone);
    }
}
