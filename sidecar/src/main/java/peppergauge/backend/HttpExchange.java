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
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.BodyStream;
import peppergauge.request.LargeBodies;
import peppergauge.request.Message;

/**
 * One attempt at one backend server: leases a connection, writes the request, reads the response and reports the result
 * once. An attempt whose connection turns out unusable before the first byte takes another connection, which is no
 * retry. Only the event loop's thread uses it.
 */
final class HttpExchange implements AsyncClientExchangeHandler, Backend.Exchange {

    private static final int MAX_INTERIM_RESPONSES = 8;
    /** New connections that may end before the first byte; after these the server is unreachable. */
    private static final int MAX_FAILED_CONNECTIONS = 4;
    /** For the next byte or the end of a response without a length. */
    private static final long UNDELIMITED_TIMEOUT_MS = 300;
    /** The least remaining time that can be written in whole milliseconds. */
    private static final double MIN_REMAINING_MS = 1;

    /** State of the attempt; it only moves forward. */
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
    private State state = State.UNSENT;
    /** Null while no connection is held. */
    private PoolEntry<Backend.Server, ServerConnection> lease;
    /** When the last byte of the request was written; its first until then. */
    private double writtenMs = Double.NaN;

    private int interimResponses;
    private int failedConnections;
    /** The response has neither a length nor chunks. */
    private boolean endsWithConnection;

    HttpExchange(
            ConnectionPool pool,
            Backend.Server server,
            Message message,
            AttemptClock clock,
            List<LoadField> loadFields,
            LargeBodies bodies,
            Backend.AttemptListener listener) {
        this.pool = pool;
        this.server = server;
        this.clock = clock;
        this.bodies = bodies;
        this.listener = listener;
        this.request = new RequestWriter(message);
        this.response = new ResponseReader(loadFields, bodies);
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
                end(Outcome.UNREACHABLE, null, null);
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
            // Cancelled while the connection was established, which is unused.
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
        if (leased != null && reusable) {
            pool.release(leased);
        } else if (leased != null) {
            pool.discard(leased);
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
        return before == State.UNSENT;
    }

    // ---- Request ----

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        checkSendable();
        double remainingMs = clock.remainingMs();
        if (remainingMs < MIN_REMAINING_MS) {
            end(Outcome.NEVER_SENT, null, null);
            throw new IOException("the attempt's time was over before its first byte");
        }
        state = State.SENT;
        writtenMs = clock.nowMs();
        if (request.isStreamed()) {
            lease.getConnection().limitBuffers(bodies.socketBufferBytes());
        }
        request.start(channel, context, remainingMs, this::onRequestBodyBroken);
    }

    /**
     * Checks right before the first byte what may have changed while the connection was established.
     *
     * @throws IOException if the request is not to be sent on this connection, or not at all
     */
    private void checkSendable() throws IOException {
        if (lease == null || !lease.getConnection().hasNoInput()) {
            throw new IOException("unexpected input on an idle connection");
        }
        if (state != State.UNSENT) {
            throw new IOException("cancelled before the first byte");
        }
        if (request.isBodyReleased()) {
            release(true);
            end(Outcome.CANCELLED, null, null);
            throw new IOException("the body was released before the first byte");
        }
        if (!listener.isClientWaiting()) {
            end(Outcome.CANCELLED, null, null);
            throw new IOException("the client disconnected before the first byte");
        }
    }

    /** The rest of the request's body never comes, or the server has stopped reading it. */
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
            throw new ProtocolException("unexpected interim response");
        }
    }

    /** Judges an invalid response by its head, since its body may never end. */
    @Override
    public void consumeResponse(HttpResponse head, EntityDetails details, HttpContext context)
            throws HttpException, IOException {
        response.onHead(head);
        if (response.isSuccess() && !request.isStreamed() && !request.isWritten()) {
            // It belongs to an earlier request: no server responds before the last byte.
            throw new ProtocolException("a response to an incomplete request");
        }
        boolean delimited = response.isDelimited(details);
        boolean large = response.isLarge(details);
        if (large && delimited && response.acceptsLargeBody()) {
            startStreaming(details.getContentLength());
        } else if (details == null) {
            onComplete();
        } else if (!delimited && !response.isSuccess()) {
            // Its body is not needed.
            release(false);
            end(response.outcome(), null, response.loadReport());
        } else if (large) {
            throw new ProtocolException(ResponseReader.tooLarge());
        } else if (!delimited) {
            awaitEndOfConnection();
        }
    }

    /**
     * A body without a length or chunks ends with its connection (RFC 9112, 6.3): a close in order completes it, a
     * reset does not. A server that has written all of it closes at once; others may never.
     */
    private void awaitEndOfConnection() {
        endsWithConnection = true;
        lease.getConnection().setTimeout(Timeout.ofMilliseconds(UNDELIMITED_TIMEOUT_MS));
    }

    /** Passes the body on as it arrives; the attempt succeeds when this begins. */
    private void startStreaming(long length) throws HttpException, IOException {
        lease.getConnection().limitBuffers(bodies.socketBufferBytes());
        BodyStream stream = response.startStreaming(length, () -> release(false));
        end(Outcome.SUCCESS, response.message(stream), response.loadReport());
    }

    /** Whether more of a streamed body may be read in this round. */
    boolean hasBodyCapacity() {
        return lease != null && response.hasCapacity();
    }

    /** Bytes of a streamed response body so far. */
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

    /** A body without a length has turned out large. */
    private void convertToStreamed(ByteBuffer part) throws IOException {
        if (!response.acceptsLargeBody()) {
            throw new IOException(ResponseReader.tooLarge());
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
        release(isReusable());
        Outcome outcome = response.outcome();
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
            // Idle connections are not counted: a server that closes them closes all, and each is tried once.
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
        // Each end has released its connection; the one that is held now may be a new lease.
    }

    private void end(Outcome outcome, Message responseMessage, double[] loadReport) {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        double latencyMs = response.hasHead() ? Math.max(0, clock.inputArrivedMs() - writtenMs) : Double.NaN;
        listener.onEnded(new Backend.Result(outcome, responseMessage, loadReport, latencyMs, request.isTruncated()));
    }
}
