package peppergauge.sockets;

import java.io.IOException;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.log.Log;
import peppergauge.request.Scheduler;

/**
 * A client's connection without its protocol: the phases, the read and idle timeouts, and every reason for which this
 * side closes. A protocol's subclass reads requests and writes responses.
 *
 * <p>At most one timer runs, and only while no request is open: a connection is closed when a request is not complete
 * within the receive timeout, or when no request comes within the idle timeout. All methods run on the event loop's
 * thread.
 */
public abstract class ClientConnection implements IOEventHandler, EvictableConnection {

    /** From connecting to the first complete request, and from the first byte of a later request to its last, ms. */
    private static final double RECEIVE_TIMEOUT_MS = 2_300;
    /** From the last response to the first byte of the next request, ms. */
    private static final double IDLE_TIMEOUT_MS = 2_500;
    /** Idle timeouts after which a client that does not read its response is disconnected. */
    private static final int MAX_UNREAD_TIMEOUTS = 4;
    /** Reads in one call, before other connections are served. */
    protected static final int MAX_READS = 24;

    private final IOSession session;
    private final ClientConnections connections;
    private final Scheduler scheduler;
    private final LingeringClose lingering;
    private ConnectionPhase phase = ConnectionPhase.READING;
    private Scheduler.ScheduledTask timer;
    /** Part of a request has been received, and the receive timeout runs. */
    private boolean receiving;
    /** No request has been complete yet. */
    private boolean firstRequest = true;

    private int unreadTimeouts;
    private int discardedBytes;

    /**
     * Creates a connection in phase {@link ConnectionPhase#READING}.
     *
     * @param session the socket
     * @param connections all clients' connections, which admit and evict this one
     * @param scheduler runs the timeouts on the event loop's thread
     */
    protected ClientConnection(IOSession session, ClientConnections connections, Scheduler scheduler) {
        this.session = session;
        this.connections = connections;
        this.scheduler = scheduler;
        this.lingering = new LingeringClose(session, scheduler);
    }

    // ---- Protocol ----

    /** Whether a request is open that keeps the timers off: its response is pending, or its large body is received. */
    protected abstract boolean hasOpenRequests();

    /** Whether a response has been started and is not written to its last byte. */
    protected abstract boolean hasUnwrittenResponses();

    /**
     * Whether the last response of this connection is being written, so that a client that does not read is cut off.
     */
    protected abstract boolean isWritingLastResponse();

    /** Whether part of a request has been received that is not complete. */
    protected abstract boolean isReceivingRequest();

    /** Whether a request body with limits of its own is being received, to which the receive timeout does not apply. */
    protected boolean isReceivingLargeBody() {
        return false;
    }

    /** All bytes received so far; tells whether a read has brought anything. */
    protected abstract long receivedBytes();

    /** Name of the protocol in log events. */
    protected abstract String protocol();

    /** Cancels the requests that have no response; called once, when the phase becomes CLOSED. */
    protected abstract void cancelOpenRequests();

    // ---- Requests and responses ----

    /** The current phase. */
    protected final ConnectionPhase phase() {
        return phase;
    }

    /** Whether no request has been complete yet. */
    protected final boolean isFirstRequest() {
        return firstRequest;
    }

    /** Registers the connection and starts the receive timeout of its first request. */
    protected final void onConnected() {
        connections.onOpened(this);
        startTimer(RECEIVE_TIMEOUT_MS);
    }

    /** Starts the receive timeout if a read has brought the first bytes of a request. */
    protected final void checkRequestStarted() {
        if (phase == ConnectionPhase.READING && !receiving && isReceivingRequest() && !isReceivingLargeBody()) {
            receiving = true;
            connections.onReading(this);
            if (!firstRequest) {
                startTimer(RECEIVE_TIMEOUT_MS);
            }
        }
    }

    /** A request needs no receive timeout any more: it is complete, or its large body has limits of its own. */
    protected final void onRequestReceived() {
        receiving = false;
        firstRequest = false;
        stopTimer();
        connections.onRequestReceived(this);
    }

    /** Marks the present request as completely received, though it is not served. */
    protected final void onRequestIgnored() {
        receiving = false;
    }

    /** Starts the idle timeout: no request is open any more. */
    protected final void startIdleTimer() {
        startTimer(IDLE_TIMEOUT_MS);
    }

    /**
     * A response has been written to its last byte.
     *
     * @param dispatched whether its request was dispatched, and not rejected before
     */
    protected final void onResponseWritten(boolean dispatched) {
        unreadTimeouts = 0;
        connections.onResponseSent(this, dispatched);
    }

    /** Reads no further requests. */
    protected final void stopReading() {
        if (phase == ConnectionPhase.READING) {
            phase = ConnectionPhase.RESPONDING;
        }
        receiving = false;
    }

    /** Counts input that is not used; closes the connection when it is too much. */
    protected final void discard(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > LingeringClose.MAX_DISCARDED_BYTES) {
            close();
        }
    }

    /** Discards what has been received; only in phase LINGERING. */
    protected final void discardInput() throws IOException {
        lingering.inputReady();
    }

    // ---- Timeouts ----

    private void startTimer(double delayMs) {
        stopTimer();
        timer = scheduler.schedule(delayMs, this::onTimeout);
    }

    /** Stops the timeout that runs, if any. */
    protected final void stopTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    private void onTimeout() {
        timer = null;
        boolean wasReceiving = receiving;
        readPending();
        if (phase.isAtLeast(ConnectionPhase.LINGERING) || hasOpenRequests()) {
            // The last open request starts a timer when it has its response.
            return;
        }
        boolean unwritten = hasUnwrittenResponses();
        boolean partial = isReceivingRequest();
        if (unwritten && !isWritingLastResponse() && ++unreadTimeouts < MAX_UNREAD_TIMEOUTS) {
            startTimer(IDLE_TIMEOUT_MS);
        } else if (!unwritten && !partial && !connections.mayCloseIdleNow()) {
            startTimer(RECEIVE_TIMEOUT_MS);
        } else if (partial && !wasReceiving && phase == ConnectionPhase.READING) {
            // Its first bytes came in with this timeout.
            startTimer(RECEIVE_TIMEOUT_MS);
        } else if (unwritten) {
            close();
        } else if (partial) {
            Log.event("receive_timeout", "protocol", protocol(), "timeout_ms", RECEIVE_TIMEOUT_MS);
            close();
        } else {
            endSending();
        }
    }

    // ---- Closing ----

    /**
     * Closes the connection unless it is in use. A request that arrives later is not read: its client sees the end of
     * the connection in place of a response, and can safely send it again.
     */
    @Override
    public final boolean closeIfIdle() {
        boolean idle = !isInUse(false);
        if (idle && phase != ConnectionPhase.LINGERING) {
            endSending();
        }
        return idle;
    }

    /** Closes without lingering, because the descriptor is needed at once. */
    @Override
    public final boolean evict() {
        boolean idle = !isInUse(firstRequest);
        if (idle) {
            close();
        }
        return idle;
    }

    /** Decides whether this side may close the connection. Reads first, since input may have waited for the CPU. */
    private boolean isInUse(boolean ignorePartialRequest) {
        if (isReceivingLargeBody()) {
            return true;
        }
        if (phase == ConnectionPhase.LINGERING) {
            return false;
        }
        readPending();
        boolean partial = isReceivingRequest() && !(ignorePartialRequest && firstRequest);
        return phase == ConnectionPhase.CLOSED || hasOpenRequests() || hasUnwrittenResponses() || partial;
    }

    /** Reads what has been received, to find out whether the client has disconnected. */
    public void detectDisconnect() {
        if (!isReceivingLargeBody()) {
            readPending();
        }
    }

    private void readPending() {
        long before = -1;
        for (int i = 0; i < MAX_READS && mayReadPending() && receivedBytes() != before; i++) {
            before = receivedBytes();
            readOnce();
        }
    }

    /** Whether input may be read out of turn. */
    protected boolean mayReadPending() {
        return !phase.isAtLeast(ConnectionPhase.LINGERING) && session.isOpen();
    }

    /** Reads once, as if the selector had reported input; a failure closes the connection. */
    protected final void readOnce() {
        try {
            inputReady(session, null);
        } catch (IOException | RuntimeException failed) {
            exception(session, failed);
            close();
        }
    }

    /** Closes the sending direction once all responses are written, and discards what the client still sends. */
    protected final void endSending() {
        if (!phase.isAtLeast(ConnectionPhase.LINGERING)) {
            phase = ConnectionPhase.LINGERING;
            stopTimer();
            lingering.begin();
        }
    }

    /** Closes at once; open requests are cancelled. */
    protected final void close() {
        session.close(CloseMode.GRACEFUL);
        onClosed();
    }

    /** The connection is over, by whichever side; open requests are cancelled. Later calls do nothing. */
    protected final void onClosed() {
        if (phase != ConnectionPhase.CLOSED) {
            phase = ConnectionPhase.CLOSED;
            stopTimer();
            lingering.onClosed();
            session.close(CloseMode.GRACEFUL);
            cancelOpenRequests();
        }
    }

    /** Gives the connection's place back; called once, when the reactor reports the end. */
    protected final void onDisconnected() {
        connections.onClosed(this);
    }
}
