package peppergauge.frontend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.http.HeadReader;
import peppergauge.memory.UnfinishedHeadMemory;
import peppergauge.sockets.ClientConnection;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.ConnectionPhase;
import peppergauge.sockets.KernelBuffers;

/**
 * The server side of a client's HTTP/1.1 connection to the frontend: ties HttpCore's protocol handler to the
 * connection's phases and to the handlers of its requests. All methods run on the event loop's thread.
 *
 * <p>HttpCore does not report to an exchange that its client has disconnected; after each read this class checks
 * whether the protocol handler is still open.
 */
final class HttpClientConnection extends ClientConnection implements Http1StreamListener {

    private final ProtocolIOSession connection;
    private final HttpFrontend frontend;
    private final HeadReader<HttpRequest> headReader = HeadReader.forRequests(new RequestGate());
    private final ServerHttp1IOEventHandler http;
    private final PipelinedRequests pipeline = new PipelinedRequests();
    private final HeldBackInput heldBack = new HeldBackInput(headReader, pipeline);
    /** Handlers whose responses are pending, and those that receive or send a large body. */
    private final Set<HttpRequestHandler> openRequests = new LinkedHashSet<>();
    /** The handler that is receiving a large body; null if there is none. */
    private HttpRequestHandler largeBodyReceiver;
    /** Whether part of a request's body has not been received yet. */
    private boolean bodyIncomplete;

    private long bodyBytes;
    /** Whether the last response belongs to a dispatched request. */
    private boolean lastResponseDispatched;

    private final UnfinishedHeadMemory unfinishedHead;
    /** The session of the reactor, whose reads can be suspended; null until it is connected. */
    private IOSession session;

    HttpClientConnection(ProtocolIOSession connection, HttpFrontend frontend, ClientConnections connections) {
        super(connection, connections, frontend.scheduler());
        this.connection = connection;
        this.frontend = frontend;
        this.unfinishedHead = new UnfinishedHeadMemory(frontend.messageMemory());
        this.http = new ServerHttp1IOEventHandler(
                new HttpServerStream(connection, headReader, () -> new HttpRequestHandler(frontend, this), this));
    }

    // ---- Reactor events ----

    @Override
    public void connected(IOSession connected) throws IOException {
        session = connected;
        onConnected();
        http.connected(connected);
    }

    @Override
    public void inputReady(IOSession ready, ByteBuffer source) throws IOException {
        if (phase() == ConnectionPhase.LINGERING) {
            discardInput();
        } else if (phase() == ConnectionPhase.RESPONDING && !bodyIncomplete) {
            discardRequests();
        } else if (!headReader.isHeldBack()) {
            readRequests(source);
        }
    }

    private void readRequests(ByteBuffer source) throws IOException {
        boolean detectDisconnect = isFirstRequest() || frontend.isInputDelayed();
        http.inputReady(session, source);
        if (detectDisconnect && !openRequests.isEmpty() && !headReader.isHeldBack()) {
            // The client's disconnect may follow its request.
            http.inputReady(session, null);
        }
        readLargeBody();
        onInputRead();
    }

    /** Reads more of a large body in the same round, since HttpCore reads only one buffer of 4 KiB of it at a time. */
    private void readLargeBody() throws IOException {
        for (int i = 0; i < MAX_READS && largeBodyReceiver != null && largeBodyReceiver.hasBodyCapacity(); i++) {
            long before = bodyBytes;
            http.inputReady(session, null);
            if (bodyBytes == before) {
                return;
            }
        }
    }

    private void onInputRead() {
        if (headReader.hasFailed()) {
            // HttpCore responds to the invalid head and reads no more; the client may still disconnect.
            stopReading();
            unfinishedHead.release();
            session.setEvent(EventMask.READ);
        }
        if (phase().isAtLeast(ConnectionPhase.LINGERING)) {
            return;
        }
        if (!http.isOpen()) {
            onClosed();
        } else if (phase() == ConnectionPhase.READING && headReader.isHeldBack()) {
            heldBack.onHeldBack(session, frontend.arrivedMs());
            resumeIfAnswered();
        } else {
            heldBack.onNothingHeldBack();
            checkRequestStarted();
        }
    }

    // ---- Held back input ----

    /** Decides which heads of this connection are parsed. */
    private final class RequestGate implements HeadReader.Gate {

        /**
         * Not while as many responses as may be pending are only waiting for their client to read them. While a request
         * is open its connection is read, so that its client's disconnect is noticed.
         */
        @Override
        public boolean mayStart() {
            return phase() == ConnectionPhase.READING && (!openRequests.isEmpty() || !pipeline.isFull());
        }

        @Override
        public boolean mayHold(long memoryBytes) {
            return unfinishedHead.hold(memoryBytes);
        }
    }

    /** Lets the connection read on, after others that wait for it, once enough responses are written. */
    private void resumeIfAnswered() {
        if (phase() == ConnectionPhase.READING && heldBack.startResuming()) {
            readLater(this::resumeReading);
        }
    }

    private void resumeReading() {
        heldBack.onResumptionDue();
        if (phase() != ConnectionPhase.READING || !session.isOpen()) {
            return;
        }
        try {
            heldBack.resume(session, () -> http.inputReady(session, null));
            onInputRead();
        } catch (IOException | RuntimeException failed) {
            exception(session, failed);
            close();
        }
    }

    /** The earliest time at which the request that is being read can have arrived, ms. */
    double arrivedMs() {
        return heldBack.earliestArrivalMs(frontend.arrivedMs());
    }

    @Override
    public void outputReady(IOSession ready) throws IOException {
        if (phase() == ConnectionPhase.LINGERING) {
            ready.clearEvent(EventMask.WRITE);
        } else {
            http.outputReady(ready);
        }
    }

    @Override
    public void timeout(IOSession timedOut, Timeout timeout) throws IOException {
        http.timeout(timedOut, timeout);
    }

    /** Called when the connection breaks, which is not a fault of this program; {@link #disconnected} follows. */
    @Override
    public void exception(IOSession broken, Exception cause) {
        http.exception(broken, cause);
    }

    @Override
    public void disconnected(IOSession ended) {
        onClosed();
        http.disconnected(ended);
        onDisconnected();
    }

    // ---- State for the base class ----

    @Override
    protected boolean hasOpenRequests() {
        return !openRequests.isEmpty();
    }

    @Override
    protected boolean hasUnwrittenResponses() {
        return pipeline.hasUnwrittenResponses();
    }

    @Override
    protected boolean isWritingLastResponse() {
        return pipeline.isLastResponseStarted();
    }

    @Override
    protected boolean isReceivingRequest() {
        return bodyIncomplete || headReader.hasPartialHead();
    }

    @Override
    protected boolean isReceivingLargeBody() {
        return largeBodyReceiver != null;
    }

    @Override
    protected long receivedBytes() {
        return headReader.receivedBytes() + bodyBytes;
    }

    @Override
    protected String protocol() {
        return "http";
    }

    @Override
    protected void cancelOpenRequests() {
        List<HttpRequestHandler> cancelled = List.copyOf(openRequests);
        openRequests.clear();
        unfinishedHead.release();
        cancelled.forEach(HttpRequestHandler::onClientDisconnected);
    }

    // ---- Calls of request handlers ----

    /**
     * Called when a request's head has been received.
     *
     * @param last whether the client sends no request after it
     * @param hasBody whether a body follows
     * @return whether the request is to be read; false after {@link #endInput}
     */
    boolean startRequest(boolean last, boolean hasBody) {
        bodyIncomplete = hasBody;
        unfinishedHead.release();
        if (phase() != ConnectionPhase.READING) {
            return false;
        }
        pipeline.onRequestStarted(last);
        return true;
    }

    /** Called when bytes of a request's body have been received. */
    void onBodyBytes(int bytes) {
        bodyBytes += bytes;
    }

    /** Called when the last byte of a request has been received. */
    void onRequestComplete() {
        bodyIncomplete = false;
        if (largeBodyReceiver != null) {
            largeBodyReceiver = null;
            onRequestIgnored();
        } else if (phase() == ConnectionPhase.READING) {
            onRequestReceived();
        } else {
            onRequestIgnored();
        }
        if (pipeline.isLastRequestStarted()) {
            endInput();
        }
    }

    /** Starts receiving a large request body, to which the receive timeout does not apply. */
    void receiveLargeBody(HttpRequestHandler handler) {
        KernelBuffers.limit(connection, frontend.bodies().socketBufferBytes());
        largeBodyReceiver = handler;
        openRequests.add(handler);
        onRequestReceived();
    }

    /** Starts sending a large response body, to which the idle timeout does not apply. */
    void sendLargeBody(HttpRequestHandler handler) {
        KernelBuffers.limit(connection, frontend.bodies().socketBufferBytes());
        openRequests.add(handler);
        stopTimer();
    }

    /** Closes the connection in the middle of a response that cannot be completed. */
    void abort() {
        close();
    }

    /** Stops reading requests. */
    void endInput() {
        stopReading();
    }

    /**
     * Stops reading requests after a request, unless another request has started since: the response that announces
     * the close must be the last one.
     *
     * @param number the request's number on this connection, by {@link #startedRequests}
     * @return whether it is the last request
     */
    boolean endInputAfter(int number) {
        if (number != pipeline.started()) {
            return false;
        }
        endInput();
        return true;
    }

    /** Number of requests that have started, which is also the number of the latest request. */
    int startedRequests() {
        return pipeline.started();
    }

    /** The memory of the head of the latest request, in bytes. */
    long lastHeadMemoryBytes() {
        return headReader.lastHeadMemoryBytes();
    }

    /** Number of requests whose responses are not completely written, including the current request. */
    int unansweredRequests() {
        return pipeline.unanswered();
    }

    /** Counts body bytes of a request that already has its response. */
    void discardBody(int bytes) {
        discard(bytes);
    }

    /** Called when a request is dispatched and its response is pending. */
    void onRequestDispatched(HttpRequestHandler handler) {
        openRequests.add(handler);
    }

    /** Called when a request's response is known; it may not be written yet. */
    void onResponse(HttpRequestHandler handler) {
        lastResponseDispatched = openRequests.remove(handler);
        if (openRequests.isEmpty() && !phase().isAtLeast(ConnectionPhase.LINGERING)) {
            startIdleTimer();
        }
    }

    // ---- HttpCore's stream events ----

    @Override
    public void onRequestHead(HttpConnection httpConnection, HttpRequest request) {
        // The request's handler reads the head.
    }

    @Override
    public void onResponseHead(HttpConnection httpConnection, HttpResponse response) {
        if (response.getCode() >= 200) {
            var connectionOption = response.getFirstHeader("Connection");
            pipeline.onResponseStarted(connectionOption != null && "close".equals(connectionOption.getValue()));
        }
    }

    /**
     * Called when a response is completely written. HttpCore would close the connection as soon as it gets the last
     * response, and drop earlier responses that are not written yet.
     */
    @Override
    public void onExchangeComplete(HttpConnection httpConnection, boolean keepAlive) {
        pipeline.onResponseWritten();
        onResponseWritten(lastResponseDispatched);
        if (pipeline.isLastResponseStarted()) {
            endSending();
        }
        resumeIfAnswered();
    }
}
