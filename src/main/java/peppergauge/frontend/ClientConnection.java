package peppergauge.frontend;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.log.Log;
import peppergauge.session.Sessions;

/**
 * A client's connection: which of its requests wait for answers, and how long it may take to send one. While no
 * session is open on it one timer runs: it is cut off when a request is not whole in time or none comes.
 */
final class ClientConnection {

    /** A request must be whole so soon after connecting, or after its first byte on a connection in use. */
    private static final double LONGEST_SENDING_MS = 2_300;
    /** Clients that ask once and keep their connection for good would use up the descriptors. */
    private static final double LONGEST_IDLE_MS = 2_500;

    /** After the last answer the client has so long to read it and close. */
    private static final double LONGEST_CLOSING_MS = 500;
    /** Input read after the answer, lest an early close destroys it; enough for what is under way, far from all. */
    private static final int MOST_DISCARDED = 512 * 1024;

    private final IOSession connection;
    private final Sessions sessions;
    private final ClientConnections all;
    private final Set<SessionHandler> waiting = new LinkedHashSet<>();
    private Future<?> timer;
    private boolean first = true;
    private boolean sending;
    private boolean gone;
    private boolean closingHere;
    private boolean inputOver;
    private boolean lastAnswer;
    private int discarded;

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
        synchronized (this) {
            if (!waiting.isEmpty()) {
                // Sessions before the slow request are still owed their answers; the last of them starts a timer.
                return;
            }
            if (sending) {
                Log.line("slow sender", "a request was not whole after " + afterMs + " ms");
                close();
                return;
            }
        }
        closeIdle();
    }

    /**
     * Closes a connection without a session, on the I/O thread and after what has come in: a request that is read
     * in this moment is still answered, and one that is not read makes the close a reset, after which its client
     * sends it again. Closed from here, a request could be read and never answered.
     */
    void closeIdle() {
        synchronized (this) {
            closingHere = true;
        }
        connection.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
    }

    private void close() {
        connection.close(CloseMode.GRACEFUL);
    }

    /** Whether this side asked for the close; what HttpCore then says of the connection tells nothing of the client. */
    synchronized boolean closingHere() {
        return closingHere;
    }

    synchronized void requestWhole() {
        first = false;
        sending = false;
        stopTimer();
    }

    /** The next request begins; false if it is not to be read any more. {@code last}: none is to come after it. */
    synchronized boolean begins(boolean last) {
        boolean read = !inputOver;
        inputOver |= last;
        return read;
    }

    /** Nothing that comes in from now on is read as a request. */
    synchronized void endInput() {
        inputOver = true;
    }

    /** Ends the input if no session is open here; whether that was so. */
    synchronized boolean endInputIfIdle() {
        inputOver |= waiting.isEmpty();
        return waiting.isEmpty();
    }

    synchronized int waiting() {
        return waiting.size();
    }

    synchronized void waits(SessionHandler handler) {
        waiting.add(handler);
    }

    synchronized void answered(SessionHandler handler) {
        waiting.remove(handler);
        if (waiting.isEmpty() && !gone) {
            startTimer(LONGEST_IDLE_MS);
            if (!sending) {
                all.idle(this);
            }
        }
    }

    /** The head of an answer goes out, in the order of the requests. */
    synchronized void answering(boolean last) {
        lastAnswer |= last;
    }

    /**
     * An answer is written. HttpCore itself would close as soon as it is told of an answer that is to be the last,
     * and forget those before it that are still to be written.
     */
    void answerWritten() {
        synchronized (this) {
            if (!lastAnswer || gone) {
                return;
            }
            if (sending) {
                // A close with unread input is a reset, which could overtake the answer.
                startTimer(LONGEST_CLOSING_MS);
                return;
            }
        }
        close();
    }

    /** Input of a request that has its answer: a client that sees it stops, any other is cut off. */
    void discarded(int bytes) {
        discarded += bytes;
        if (discarded > MOST_DISCARDED) {
            close();
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
