package peppergauge.frontend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import peppergauge.http.BodyBuffer;
import peppergauge.http.ReceiveWindow;
import peppergauge.memory.RequestMemory;
import peppergauge.request.BodyStream;
import peppergauge.request.BodyWriter;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/**
 * One request of a client, from its head to the last byte of its response: reads and checks the request, dispatches it,
 * and passes its outcome to the {@link HttpResponseWriter}. Only the event loop's thread uses it.
 */
final class HttpRequestHandler implements AsyncServerExchangeHandler, ResponseListener {

    /** A larger body is streamed, or rejected where large bodies are not accepted. */
    private static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    private static final String READY_PATH = "/up";
    private static final byte[] NO_CONTENT = new byte[0];

    private final HttpFrontend frontend;
    private final HttpClientConnection connection;
    private final HttpResponseWriter response;
    private final BodyBuffer body = new BodyBuffer(MAX_BUFFERED_BODY_BYTES);
    private final RequestMemory memory;
    private RequestHead head;
    private RequestHandler handler;
    private boolean warmUp;
    private boolean requestComplete;
    private boolean dispatched;
    /** Whether the rest of the body is read and discarded. */
    private boolean discardBody;
    /** The body if it is too large to be held in memory; otherwise null. */
    private StreamedRequestBody largeBody;
    /** HttpCore's receive window of a body that is not streamed yet; null until HttpCore first exhausts it. */
    private CapacityChannel capacityChannel;

    private int grantedBytes;

    HttpRequestHandler(HttpFrontend frontend, HttpClientConnection connection) {
        this.frontend = frontend;
        this.connection = connection;
        this.response = new HttpResponseWriter(frontend, connection, this);
        this.memory = new RequestMemory(frontend.messageMemory());
    }

    // ---- Head ----

    @Override
    public void handleRequest(
            HttpRequest request, EntityDetails details, ResponseChannel responses, HttpContext exchange)
            throws HttpException, IOException {
        Header connectionOption = request.getFirstHeader("Connection");
        boolean close = connectionOption != null && "close".equalsIgnoreCase(connectionOption.getValue());
        boolean accepted = connection.startRequest(close, details != null);
        response.open(responses, exchange, connection.startedRequests(), close);
        if (details == null) {
            connection.onRequestComplete();
        }
        if (!accepted) {
            // Bytes after an invalid request may belong to it, so nothing more is dispatched.
            discardBody = true;
            return;
        }
        if (connection.unansweredRequests() > PipelinedRequests.MAX_UNANSWERED) {
            respondLocally(503, "too many requests on one connection");
            return;
        }
        if (READY_PATH.equals(request.getRequestUri())) {
            respondLocally(frontend.isReady() ? 200 : 503, frontend.isReady() ? "ready" : "not ready");
            return;
        }
        handler = frontend.handlerFor(request);
        if (handler == null) {
            respondLocally(503, "the rehearsal is over");
            return;
        }
        warmUp = frontend.isWarmUpHandler(handler);
        try {
            head = RequestHead.read(request, frontend.classifier());
        } catch (RequestHead.InvalidRequestException invalid) {
            respondLocally(invalid.status, invalid.getMessage(), invalid.allowedMethod, 0);
            return;
        }
        startBody(request, details);
    }

    private void startBody(HttpRequest request, EntityDetails details) throws HttpException, IOException {
        boolean large = details != null && details.getContentLength() > MAX_BUFFERED_BODY_BYTES;
        if (large && !frontend.bodies().acceptsLargeBodies()) {
            rejectTooLarge();
        } else if (details != null && details.getContentLength() != 0 && "GET".equals(head.method())) {
            respondLocally(400, "GET takes no body");
        } else if (!memory.reserveHead(head.id(), connection.lastHeadMemoryBytes()) && isPipelined()) {
            // HttpCore keeps the head until the response is written, so no further one may be read.
            respondLocally(503, "no memory for further requests");
        } else if (details == null) {
            requestComplete = true;
            dispatch();
        } else if (!large || startLargeBody(details.getContentLength())) {
            body.expectLength(details.getContentLength());
            continueIfExpected(request);
        }
    }

    /** Whether an earlier request of this connection has no response yet. */
    private boolean isPipelined() {
        return connection.unansweredRequests() > 1;
    }

    /** Sends 100 (Continue) to a client that expects it, unless an earlier response is pending. */
    private void continueIfExpected(HttpRequest request) throws HttpException, IOException {
        Header expected = request.getFirstHeader("Expect");
        if (expected != null
                && "100-continue".equalsIgnoreCase(expected.getValue())
                && connection.unansweredRequests() == 1) {
            response.writeContinue();
        }
    }

    // ---- Body ----

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        if (largeBody != null) {
            largeBody.onWindowExhausted(channel);
        } else if (discardBody || !frontend.bodies().acceptsLargeBodies()) {
            channel.update(Integer.MAX_VALUE);
        } else {
            capacityChannel = channel;
            grantedBytes += MAX_BUFFERED_BODY_BYTES;
            channel.update(MAX_BUFFERED_BODY_BYTES);
        }
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        connection.onBodyBytes(part.remaining());
        if (largeBody != null) {
            consumeLargeBody(part);
        } else if (discardBody) {
            discard(part);
        } else if (memory.isExhausted()) {
            part.position(part.limit());
        } else if (body.accepts(part.remaining())) {
            collect(part);
        } else if (frontend.bodies().acceptsLargeBodies()) {
            convertToLargeBody(part);
        } else {
            part.position(part.limit());
            try {
                rejectTooLarge();
            } catch (HttpException failed) {
                throw new IOException(failed);
            }
        }
    }

    private void collect(ByteBuffer part) {
        int growth = body.growthFor(part.remaining());
        if (growth == 0 || memory.reserveBody(head.id(), isPipelined(), growth)) {
            body.write(part);
        } else {
            // The request is rejected when the rest of it has been read.
            body.clear();
            part.position(part.limit());
        }
    }

    private void discard(ByteBuffer part) {
        connection.discardBody(part.remaining());
        part.position(part.limit());
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        requestComplete = true;
        connection.onRequestComplete();
        if (largeBody != null) {
            largeBody.complete();
        } else if (!discardBody) {
            dispatch();
        }
    }

    /** Whether the last byte of the request has been received. */
    boolean isComplete() {
        return requestComplete;
    }

    private void dispatch() {
        if (memory.isExhausted()) {
            onRejected(0);
            return;
        }
        IncomingRequest request = head.toRequest(connection.arrivedMs(), body.take());
        if (frontend.isStoppedBefore(request.deadlineMs())) {
            onRejected(0);
            return;
        }
        dispatched = true;
        connection.onRequestDispatched(this);
        handler.handle(request, this);
    }

    // ---- Large body ----

    /**
     * Starts streaming the body.
     *
     * @param length in bytes; -1 if unknown
     * @return whether the body is accepted; otherwise the response has been written
     */
    private boolean startLargeBody(long length) throws IOException {
        largeBody = new StreamedRequestBody(this, new ReceiveWindow(grantedBytes));
        if (capacityChannel != null) {
            largeBody.onWindowExhausted(capacityChannel);
        }
        IncomingRequest request = head.toRequest(connection.arrivedMs(), NO_CONTENT);
        BodyWriter writer = frontend.bodies().openRequestBody(request, length, largeBody);
        if (writer == null) {
            return false;
        }
        largeBody.open(request, writer);
        connection.receiveLargeBody(this);
        return true;
    }

    /** Starts streaming a body without a length that has turned out to be large. */
    private void convertToLargeBody(ByteBuffer part) throws IOException {
        if (startLargeBody(-1)) {
            largeBody.write(ByteBuffer.wrap(body.take()));
            memory.releaseBody();
        }
        consumeLargeBody(part);
    }

    private void consumeLargeBody(ByteBuffer part) {
        if (!largeBody.write(part)) {
            discard(part);
        }
    }

    /** Whether more of a large body may be read in this round. */
    boolean hasBodyCapacity() {
        return largeBody != null && largeBody.hasCapacity();
    }

    /** Dispatches a request whose large body is complete, or is forwarded as it arrives. */
    void dispatchLarge(IncomingRequest request, BodyStream stream) {
        dispatched = true;
        // The client's timeout starts here: receiving the body is not a delay of the request.
        handler.handle(request.with(stream, frontend.arrivedMs()), this);
    }

    /** Responds to a request whose large body is not accepted, or is no longer accepted. */
    void rejectLargeBody(int status, String text, double retryAfterMs) {
        if (response.isStarted()) {
            return;
        }
        if (dispatched) {
            handler.cancel(head.id(), this);
        }
        try {
            respondLocally(status, text, null, retryAfterMs);
        } catch (HttpException | IOException failed) {
            HttpResponseWriter.logWriteFailed(failed);
        }
    }

    /** Releases a large body that is no longer needed; the rest of an incomplete body is discarded. */
    void releaseLargeBody() {
        if (largeBody == null) {
            return;
        }
        largeBody.release();
        if (!requestComplete) {
            discardBody = true;
            response.closeAfterResponse();
            connection.endInput();
        }
    }

    // ---- Response ----

    private void rejectTooLarge() throws HttpException, IOException {
        respondLocally(413, "a body holds " + MAX_BUFFERED_BODY_BYTES + " bytes at most");
    }

    private void respondLocally(int status, String text) throws HttpException, IOException {
        respondLocally(status, text, null, 0);
    }

    private void respondLocally(int status, String text, String allowedMethod, double retryAfterMs)
            throws HttpException, IOException {
        discardBody = true;
        response.writeLocal(status, text, allowedMethod, retryAfterMs);
    }

    /** The memory of this request and its response. */
    RequestMemory memory() {
        return memory;
    }

    @Override
    public void onResponse(Message message) {
        response.writeSuccess(message);
    }

    @Override
    public void onRejected(double retryAfterMs) {
        response.writeRejected(retryAfterMs);
    }

    @Override
    public void onFailed(boolean late) {
        response.writeFailed(late);
    }

    @Override
    public void onDuplicateId() {
        if (warmUp) {
            response.writeWarmUpResponse();
        } else {
            response.writeDuplicateId();
        }
    }

    /** Reads pending input first, since the end of the connection may follow a body or further requests. */
    @Override
    public boolean isClientWaiting() {
        if (!response.isStarted()) {
            connection.detectDisconnect();
        }
        return !response.isStarted();
    }

    @Override
    public int available() {
        return response.available();
    }

    @Override
    public void produce(DataStreamChannel output) throws IOException {
        response.produce(output);
    }

    // ---- End of the connection ----

    @Override
    public void failed(Exception cause) {
        onClientDisconnected();
    }

    /** Called by HttpCore when the response is completely written or the connection has ended. */
    @Override
    public void releaseResources() {
        memory.release();
    }

    /** Called when the connection has ended; a request without a response is cancelled. */
    void onClientDisconnected() {
        if (dispatched && !response.isStarted()) {
            handler.cancel(head.id(), this);
        }
        response.cancel();
        if (largeBody != null) {
            largeBody.release();
        }
    }
}
