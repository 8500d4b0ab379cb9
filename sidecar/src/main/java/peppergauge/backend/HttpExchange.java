package peppergauge.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestNotExecutedException;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.util.Timeout;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.BodyStream;
import peppergauge.request.LargeBodies;
import peppergauge.request.Message;
import peppergauge.sockets.LocalConnectException;

/**
 * One attempt at one backend server: leases a connection, writes the request, reads the response and reports the result
 * once. An attempt whose connection turns out to be unusable before the first byte uses another connection, which does
 * not count as a retry. Only the event loop's thread uses it.
 */
final class HttpExchange implements AsyncClientExchangeHandler, Backend.Exchange {

    private static final int MAX_INTERIM_RESPONSES = 8;
    /** Number of new connections that end before the first byte after which the server counts as unreachable. */
    private static final int MAX_FAILED_CONNECTIONS = 4;
    /** Timeout for the next byte or the end of a response without a length. */
    private static final long UNDELIMITED_TIMEOUT_MS = 300;
    /** Smallest remaining time that can be written in whole milliseconds. */
    private static final double MIN_REMAINING_MS = 1;

    /** State of the attempt; only changes to a later constant. */
    private enum State {
        /** No byte of the request is written: the attempt can be cancelled without effect. */
        UNSENT,
        /** The request is written, at least in part: it may have run. */
        SENT,
        /** The result has been reported, or the attempt was cancelled. */
        ENDED
    }

    private final ConnectionPool pool;
    private final Backend.Server server;
    private final AttemptClock clock;
    private final LargeBodies bodies;
    private final Backend.AttemptListener listener;
    private final RequestWriter request;
    private final ResponseReader response;
    private final ResponseMemory memory;

    private State state = State.UNSENT;
    /** Null while no connection is held. */
    private PoolEntry<Backend.Server, ServerConnection> lease;
    /** Time at which the first byte was written; with a streamed body, that of the last byte once it is written. */
    private double writtenMs = Double.NaN;

    private int interimResponses;
    private int failedConnections;
    /** Whether the response has neither a length nor chunks, and ends when the connection closes. */
    private boolean endsWithConnection;

    HttpExchange(
            ConnectionPool pool,
            Backend.Server server,
            Message message,
            AttemptClock clock,
            LargeBodies bodies,
            ResponseReader response,
            ResponseMemory memory,
            Backend.AttemptListener listener) {
        this.pool = pool;
        this.server = server;
        this.clock = clock;
        this.bodies = bodies;
        this.listener = listener;
        this.request = new RequestWriter(message);
        this.response = response;
        this.memory = memory;
    }

    // ---- Connection ----

    /** Leases a connection and starts the request on it. */
    void start() {
        pool.lease(server, new FutureCallback<>() {
            @Override
            public void completed(PoolEntry<Backend.Server, ServerConnection> leased) {
                execute(leased);
            }

            @Override
            public void failed(Exception cause) {
                // A failure on this machine says nothing of the server.
                end(cause instanceof LocalConnectException ? Outcome.NEVER_SENT : Outcome.UNREACHABLE, null, null);
            }

            @Override
            public void cancelled() {
                end(Outcome.UNREACHABLE, null, null);
            }
        });
    }

    private void execute(PoolEntry<Backend.Server, ServerConnection> leased) {
        lease = leased;
        if (state != State.UNSENT) {
            // The attempt was cancelled while the connection was being established; the connection is unused.
            release(true);
            return;
        }
        ServerConnection connection = leased.getConnection();
        if (connection == null) {
            failed(new RequestNotExecutedException());
            return;
        }
        connection.execute(new RequestExecutionCommand(this, HttpCoreContext.create()), this);
    }

    /** Gives the connection back to the pool, or closes it; later calls do nothing. */
    private void release(boolean reusable) {
        PoolEntry<Backend.Server, ServerConnection> leased = lease;
        lease = null;
        request.cancel();
        if (leased == null) {
            return;
        }
        if (!reusable) {
            pool.discard(leased);
        } else if (Double.isNaN(writtenMs)) {
            pool.returnUnused(leased);
        } else {
            pool.release(leased);
        }
    }

    private boolean isReusable() {
        return request.isWritten() && !endsWithConnection;
    }

    // ---- Cancellation ----

    @Override
    public boolean cancelIfUnsent() {
        boolean cancelled = state == State.UNSENT;
        state = cancelled ? State.ENDED : state;
        return cancelled;
    }

    @Override
    public boolean abort() {
        State before = state;
        state = State.ENDED;
        if (before == State.SENT) {
            release(false);
        }
        memory.release();
        return before == State.UNSENT;
    }

    // ---- Request ----

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        checkSendable();
        double remainingMs = clock.remainingMs();
        if (remainingMs < MIN_REMAINING_MS) {
            end(Outcome.NEVER_SENT, null, null);
            throw new IOException("attempt timed out before its first byte: " + remainingMs + " ms remaining");
        }
        state = State.SENT;
        writtenMs = clock.nowMs();
        if (request.isStreamed()) {
            lease.getConnection().limitBuffers(bodies.socketBufferBytes());
        }
        request.start(channel, context, remainingMs, this::onRequestBodyBroken);
    }

    /**
     * Checks, immediately before the first byte, everything that may have changed while the connection was being
     * established.
     *
     * @throws IOException if the request is not to be sent on this connection, or not at all
     */
    private void checkSendable() throws IOException {
        if (lease == null) {
            throw new IOException("connection to " + server.address() + " was released before the first byte");
        }
        if (!lease.getConnection().hasNoInput()) {
            throw new IOException("unexpected input on an idle connection to " + server.address());
        }
        if (state != State.UNSENT) {
            throw new IOException("attempt was cancelled before the first byte");
        }
        if (request.isBodyReleased()) {
            release(true);
            end(Outcome.CANCELLED, null, null);
            throw new IOException("request body was released before the first byte");
        }
        if (!listener.isClientWaiting()) {
            end(Outcome.CANCELLED, null, null);
            throw new IOException("client disconnected before the first byte");
        }
    }

    /** Called when the rest of the request's body will not arrive, or the server has stopped reading it. */
    private void onRequestBodyBroken() {
        if (lease != null) {
            release(false);
            response.abort();
            end(request.bodyEnd() == BodyStream.End.CANCELLED ? Outcome.BROKEN : Outcome.CANCELLED, null, null);
        }
    }

    /** Whether the last byte of the request is written. */
    boolean isRequestWritten() {
        return request.isWritten();
    }

    @Override
    public int available() {
        return request.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (request.produce(channel)) {
            writtenMs = clock.nowMs();
        }
    }

    // ---- Response ----

    @Override
    public void consumeInformation(HttpResponse information, HttpContext context) throws HttpException {
        if (information.getCode() == 101 || ++interimResponses > MAX_INTERIM_RESPONSES) {
            throw new ProtocolException("unexpected interim response: status " + information.getCode());
        }
    }

    /** Handles an invalid response as soon as its head is read, since its body may never end. */
    @Override
    public void consumeResponse(HttpResponse head, EntityDetails details, HttpContext context)
            throws HttpException, IOException {
        response.onHead(head);
        if (response.isSuccess() && !request.isStreamed() && !request.isWritten()) {
            // The response belongs to an earlier request: no server succeeds before it has the last byte.
            lease.getConnection().reportUnexpectedInput(UnexpectedInput.BEFORE_LAST_BYTE);
            throw new ProtocolException("response 200 before the request was completely written");
        }
        boolean delimited = response.isDelimited(details);
        boolean large = response.isLarge(details);
        if (large && delimited && response.acceptsLargeBody()) {
            startStreaming(details.getContentLength());
        } else if (details == null) {
            onComplete();
        } else if (!delimited && !response.isSuccess()) {
            // The body of an error response is not needed.
            release(false);
            end(response.outcome(), null, response.loadReport());
        } else if (large) {
            throw new ProtocolException(ResponseReader.tooLargeMessage());
        } else {
            endsWithConnection = !delimited;
            collectBody(details.getContentLength());
        }
    }

    private void collectBody(long length) {
        response.expectLength(length);
        if (memory.reserve(length, lease.getConnection(), this::awaitEndOfConnection)) {
            awaitEndOfConnection();
        }
    }

    /**
     * Waits for the end of a body without a length or chunks, which ends with its connection (RFC 9112, 6.3): an
     * orderly close completes it, a reset does not. A server that closes the connection does so right after the last
     * byte; others may never close it.
     */
    private void awaitEndOfConnection() {
        if (endsWithConnection) {
            lease.getConnection().setTimeout(Timeout.ofMilliseconds(UNDELIMITED_TIMEOUT_MS));
        }
    }

    /** Starts passing the body on as it arrives; the attempt has succeeded from here on. */
    private void startStreaming(long length) throws HttpException, IOException {
        lease.getConnection().limitBuffers(bodies.socketBufferBytes());
        BodyStream stream = response.startStreaming(length, () -> release(false));
        end(Outcome.SUCCESS, response.message(stream), response.loadReport());
    }

    /** Whether more of a streamed body may be read in this round. */
    boolean hasBodyCapacity() {
        return lease != null && response.hasCapacity();
    }

    /** Number of bytes of a streamed response body received so far. */
    long streamedBytes() {
        return response.streamedBytes();
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        response.onWindowExhausted(channel);
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        if (!response.write(part)) {
            convertToStreamed(part);
        }
    }

    /** Starts streaming a body without a length that has turned out to be large. */
    private void convertToStreamed(ByteBuffer part) throws IOException {
        if (!response.acceptsLargeBody()) {
            throw new IOException(ResponseReader.tooLargeMessage());
        }
        try {
            startStreaming(-1);
        } catch (HttpException failed) {
            throw new IOException(failed);
        }
        response.streamCollected();
        response.write(part);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (response.isStreamed()) {
            release(isReusable());
            response.complete();
        } else {
            onComplete();
        }
    }

    private void onComplete() {
        Outcome outcome = response.outcome();
        if (lease != null && outcome == Outcome.SUCCESS) {
            lease.getConnection().onSuccess(latencyMs());
        }
        release(isReusable());
        end(outcome, outcome == Outcome.SUCCESS ? response.message() : null, response.loadReport());
    }

    // ---- End ----

    @Override
    public void failed(Exception cause) {
        boolean wasIdle =
                lease != null && lease.hasConnection() && lease.getConnection().hasBeenIdle();
        release(false);
        response.abort();
        if (state == State.UNSENT && (wasIdle || ++failedConnections < MAX_FAILED_CONNECTIONS)) {
            // Idle connections are not counted: a server usually closes all of them, and each is tried only once.
            start();
            return;
        }
        end(state == State.UNSENT ? Outcome.UNREACHABLE : Outcome.BROKEN, null, null);
    }

    @Override
    public void cancel() {
        failed(new RequestNotExecutedException());
    }

    @Override
    public void releaseResources() {
        // The connection was released when the exchange ended; a connection held now may be a new lease.
    }

    /** Time from the write to the response, ms; NaN without a response. */
    private double latencyMs() {
        return response.hasHead() ? Math.max(0, clock.inputArrivedMs() - writtenMs) : Double.NaN;
    }

    private void end(Outcome outcome, Message responseMessage, double[] loadReport) {
        if (state != State.ENDED) {
            state = State.ENDED;
            listener.onEnded(
                    new Backend.Result(outcome, responseMessage, loadReport, latencyMs(), request.isTruncated()));
        }
        // The listener has reserved memory for a response that it passes on.
        memory.release();
    }
}
