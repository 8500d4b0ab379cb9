package peppergauge.sockets;

import java.io.IOException;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.log.Log;
import peppergauge.request.Scheduler;

/**
 * Base class of a client's connection, independent of its protocol: the phases, the receive and idle timeouts, and
 * every reason for which this side closes the connection. A subclass per protocol reads requests and writes responses.
 *
 * <p>At most one timer runs, and only while no request is open: a connection is closed when a request is not complete
 * within the receive timeout, or when no request comes within the idle timeout. All methods run on the event loop's
 * thread.
 */
public abstract class ClientConnection implements IOEventHandler, EvictableConnection {

    /** Time from connecting to the first complete request, and from the first to the last byte of later requests. */
    private static final double RECEIVE_TIMEOUT_MS = 2_300;
    /** Time from the last response to the first byte of the next request. */
    private static final double IDLE_TIMEOUT_MS = 2_500;
    /** Number of idle timeouts after which a client that does not read its response is disconnected. */
    private static final int MAX_UNREAD_TIMEOUTS = 4;
    /** Maximum number of reads in one call, before other connections are served. */
    protected static final int MAX_READS = 24;

    private final IOSession session;
    private final ClientConnections connections;
    private final Scheduler scheduler;
    private final LingeringClose lingering;
    private ConnectionPhase phase = ConnectionPhase.READING;
    private Scheduler.ScheduledTask timer;
    /** Whether part of a request has been received and the receive timeout is running. */
    private boolean receiving;
    /** Whether no request has been completely received yet. */
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

    /**
     * Whether a request is open: its response is pending, or its large body is being received. No timer runs while a
     * request is open.
     */
    protected abstract boolean hasOpenRequests();

    /** Whether a response has started that is not completely written. */
    protected abstract boolean hasUnwrittenResponses();

    /**
     * Whether the last response of this connection is being written, so that a client that does not read it is
     * disconnected.
     */
    protected abstract boolean isWritingLastResponse();

    /** Whether a request has been received in part. */
    protected abstract boolean isReceivingRequest();

    /** Whether a large request body is being received, to which the receive timeout does not apply. */
    protected boolean isReceivingLargeBody() {
        return false;
    }

    /** Number of bytes received so far; increases with each read that returns bytes. */
    protected abstract long receivedBytes();

    /** Returns the name of the protocol in log events. */
    protected abstract String protocol();

    /** Cancels the requests that have no response; called once, when the phase becomes CLOSED. */
    protected abstract void cancelOpenRequests();

    // ---- Requests and responses ----

    /** The current phase. */
    protected final ConnectionPhase phase() {
        return phase;
    }

    /** Whether no request has been completely received yet. */
    protected final boolean isFirstRequest() {
        return firstRequest;
    }

    /** Registers the connection and starts the receive timeout of its first request. */
    protected final void onConnected() {
        connections.onOpened(this);
        startTimer(RECEIVE_TIMEOUT_MS);
    }

    /** Starts the receive timeout if the first bytes of a request have been received. */
    protected final void checkRequestStarted() {
        if (phase == ConnectionPhase.READING && !receiving && isReceivingRequest() && !isReceivingLargeBody()) {
            receiving = true;
            connections.onReading(this);
            if (!firstRequest) {
                startTimer(RECEIVE_TIMEOUT_MS);
            }
        }
    }

    /**
     * Called when a request needs no receive timeout any more: it is complete, or the receive timeout does not apply to
     * its large body.
     */
    protected final void onRequestReceived() {
        receiving = false;
        firstRequest = false;
        stopTimer();
        connections.onRequestReceived(this);
    }

    /** Called when a request has been completely received and is not served. */
    protected final void onRequestIgnored() {
        receiving = false;
    }

    /** Starts the idle timeout; called when no request is open any more. */
    protected final void startIdleTimer() {
        startTimer(IDLE_TIMEOUT_MS);
    }

    /**
     * Called when a response is completely written.
     *
     * @param dispatched whether its request was dispatched, rather than rejected before
     */
    protected final void onResponseWritten(boolean dispatched) {
        unreadTimeouts = 0;
        connections.onResponseSent(this, dispatched);
    }

    /** Stops reading requests. */
    protected final void stopReading() {
        if (phase == ConnectionPhase.READING) {
            phase = ConnectionPhase.RESPONDING;
        }
        receiving = false;
    }

    /**
     * Counts discarded input; closes the connection when the limit is exceeded, unless a request is open: its client is
     * owed the response, and would otherwise not be seen to disconnect.
     */
    protected final void discard(int bytes) {
        discardedBytes = Math.min(discardedBytes + bytes, LingeringClose.MAX_DISCARDED_BYTES + 1);
        if (discardedBytes > LingeringClose.MAX_DISCARDED_BYTES && !hasOpenRequests()) {
            close();
        }
    }

    /** Reads and discards input after the last request, so that the end of the connection is noticed. */
    protected final void discardRequests() throws IOException {
        int bytes = session.read(connections.discardBuffer());
        if (bytes < 0) {
            onClosed();
        } else {
            discard(bytes);
        }
    }

    /** Lets the connection take its turn among those whose input was held back. */
    protected final void readLater(Runnable turn) {
        connections.readLater(turn);
    }

    /** Discards pending input; only in phase LINGERING. */
    protected final void discardInput() throws IOException {
        lingering.inputReady();
    }

    // ---- Timeouts ----

    private void startTimer(double delayMs) {
        stopTimer();
        timer = scheduler.schedule(delayMs, this::onTimeout);
    }

    /** Stops the running timeout, if any. */
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
            // The response to the last open request starts the idle timer.
            return;
        }
        boolean unwritten = hasUnwrittenResponses();
        boolean partial = isReceivingRequest();
        if (unwritten && !isWritingLastResponse() && ++unreadTimeouts < MAX_UNREAD_TIMEOUTS) {
            // The client may still read its responses.
            startTimer(IDLE_TIMEOUT_MS);
        } else if (!unwritten && !partial && !connections.mayCloseIdleNow()) {
            // During overload, idle connections are not closed; checks again later.
            startTimer(RECEIVE_TIMEOUT_MS);
        } else if (partial && !wasReceiving && phase == ConnectionPhase.READING) {
            // The first bytes of a request arrived together with this timeout.
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
     * Closes the connection unless it is in use. A request that arrives later is not read: the client sees the end of
     * the connection instead of a response, and can safely retry.
     */
    @Override
    public final boolean closeIfIdle() {
        boolean idle = !isInUse(false);
        if (idle && phase != ConnectionPhase.LINGERING) {
            endSending();
        }
        return idle;
    }

    /** Closes the connection without lingering, because its descriptor is needed immediately. */
    @Override
    public final boolean evict() {
        boolean idle = !isInUse(firstRequest);
        if (idle) {
            close();
        }
        return idle;
    }

    /** Whether the connection is in use. Reads pending input first, since the event loop may have been delayed. */
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

    /** Reads pending input to detect whether the client has disconnected. */
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

    /** Whether input may be read outside of the reactor's read events. */
    protected boolean mayReadPending() {
        return !phase.isAtLeast(ConnectionPhase.LINGERING) && session.isOpen();
    }

    /** Reads once, as on a read event of the reactor; a failure closes the connection. */
    protected final void readOnce() {
        try {
            inputReady(session, null);
        } catch (IOException | RuntimeException failed) {
            exception(session, failed);
            close();
        }
    }

    /** Closes the sending direction after all responses are written, and discards further input. */
    protected final void endSending() {
        if (!phase.isAtLeast(ConnectionPhase.LINGERING)) {
            phase = ConnectionPhase.LINGERING;
            stopTimer();
            lingering.begin();
        }
    }

    /** Closes the connection immediately; open requests are cancelled. */
    protected final void close() {
        session.close(CloseMode.GRACEFUL);
        onClosed();
    }

    /** Called when either side has closed the connection; open requests are cancelled. Later calls do nothing. */
    protected final void onClosed() {
        if (phase != ConnectionPhase.CLOSED) {
            phase = ConnectionPhase.CLOSED;
            stopTimer();
            lingering.onClosed();
            session.close(CloseMode.GRACEFUL);
            cancelOpenRequests();
        }
    }

    /** Unregisters the connection, which releases its socket; called once, when the reactor reports the disconnect. */
    protected final void onDisconnected() {
        connections.onClosed(this);
    }
}
