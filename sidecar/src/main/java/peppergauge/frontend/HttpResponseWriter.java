package peppergauge.frontend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import peppergauge.http.BodySender;
import peppergauge.http.Headers;
import peppergauge.log.Log;
import peppergauge.request.BodyStream;
import peppergauge.request.Message;

/**
 * Writes the final response of a request, at once or as its body arrives, and decides whether the connection closes
 * after it. Only the event loop's thread uses it.
 */
final class HttpResponseWriter {

    private static final byte[] NO_CONTENT = new byte[0];
    private static final ByteBuffer EMPTY_BUFFER = ByteBuffer.wrap(NO_CONTENT);
    /** Body of the response that this program sends to itself while it warms up. */
    private static final byte[] WARM_UP_CONTENT = new byte[200];

    private static final String WARM_UP_LOAD_REPORT = "inflight=1,queue=0,latency_ms=1";

    private final HttpFrontend frontend;
    private final HttpClientConnection connection;
    private final HttpRequestHandler request;
    private ResponseChannel channel;
    private HttpContext context;
    private int requestNumber;
    private boolean closeAfterResponse;
    private boolean started;
    private ByteBuffer unsent = EMPTY_BUFFER;
    /** Sends a streamed body; null if the body is held in memory. */
    private BodySender bodySender;

    HttpResponseWriter(HttpFrontend frontend, HttpClientConnection connection, HttpRequestHandler request) {
        this.frontend = frontend;
        this.connection = connection;
        this.request = request;
    }

    /**
     * Sets the channel to which the response is written.
     *
     * @param number of the request on its connection
     * @param close whether the request has {@code Connection: close}
     */
    void open(ResponseChannel responses, HttpContext exchange, int number, boolean close) {
        channel = responses;
        context = exchange;
        requestNumber = number;
        closeAfterResponse = close;
    }

    /** Closes the connection after this response. */
    void closeAfterResponse() {
        closeAfterResponse = true;
    }

    /** Whether the response has begun, or none will be written because the client has disconnected. */
    boolean isStarted() {
        return started;
    }

    /** Sends 100 (Continue); only if no earlier response is pending. */
    void writeContinue() throws HttpException, IOException {
        channel.sendInformation(new BasicHttpResponse(100), context);
    }

    // ---- Responses by outcome ----

    void writeSuccess(Message message) {
        BasicHttpResponse response = new BasicHttpResponse(200);
        for (Message.Field field : message.fields()) {
            response.addHeader(field.name(), field.value());
        }
        BodyStream body = message.stream();
        if (body == null) {
            writeUnlessStarted(response, message.body());
        } else if (started || !body.isReadableFromStart() || !canDelimit(body)) {
            body.release();
            writeFailed(false);
        } else {
            writeStreamed(response, body);
        }
    }

    /**
     * Whether the client can detect the end of the body. An HTTP/1.0 client does not support chunks, and could not
     * distinguish the end of a body without a length from a failure.
     */
    private boolean canDelimit(BodyStream body) {
        return body.length() >= 0 || !context.getProtocolVersion().lessEquals(HttpVersion.HTTP_1_0);
    }

    /** @param retryAfterMs 0 for no Retry-After */
    void writeRejected(double retryAfterMs) {
        BasicHttpResponse response = new BasicHttpResponse(503);
        addRetryAfter(response, retryAfterMs);
        writeUnlessStarted(response, NO_CONTENT);
    }

    /** @param late whether the deadline has passed */
    void writeFailed(boolean late) {
        writeUnlessStarted(new BasicHttpResponse(late ? 504 : 502), NO_CONTENT);
    }

    void writeDuplicateId() {
        writeUnlessStarted(new BasicHttpResponse(409), "a session has this X-Txn\n".getBytes(StandardCharsets.UTF_8));
    }

    /** Responds to a warm-up attempt as a backend server would. */
    void writeWarmUpResponse() {
        BasicHttpResponse response = new BasicHttpResponse(200);
        response.addHeader(Headers.LOAD_REPORT, WARM_UP_LOAD_REPORT);
        writeUnlessStarted(response, WARM_UP_CONTENT);
    }

    /**
     * Responds to a request that was not dispatched. After an error nothing more is read from the connection.
     *
     * @param allowedMethod for the Allow header; null for none
     * @param retryAfterMs 0 for no Retry-After
     */
    void writeLocal(int status, String text, String allowedMethod, double retryAfterMs)
            throws HttpException, IOException {
        BasicHttpResponse response = new BasicHttpResponse(status);
        addRetryAfter(response, retryAfterMs);
        if (allowedMethod != null) {
            response.addHeader("Allow", allowedMethod);
        }
        if (status >= 400) {
            closeAfterResponse = true;
            connection.endInput();
        }
        write(response, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static void addRetryAfter(BasicHttpResponse response, double delayMs) {
        if (delayMs > 0) {
            response.addHeader("Retry-After", String.format(Locale.ROOT, "%.3f", delayMs / 1000));
        }
    }

    // ---- Writing ----

    /** Writes a response unless a large body was rejected, or the client disconnected, before this outcome. */
    private void writeUnlessStarted(BasicHttpResponse response, byte[] content) {
        if (started) {
            return;
        }
        try {
            write(response, content);
        } catch (ClosedChannelException disconnected) {
            // The client is not there to read the response.
        } catch (HttpException | IOException failed) {
            logWriteFailed(failed);
        }
    }

    static void logWriteFailed(Exception failed) {
        Log.event("response_write_failed", "error", failed);
    }

    private void write(BasicHttpResponse response, byte[] content) throws HttpException, IOException {
        started = true;
        request.releaseLargeBody();
        connection.onResponse(request);
        if (closeAfterResponse || frontend.isClosing() && connection.endInputAfter(requestNumber)) {
            response.setHeader("Connection", "close");
        }
        response.setHeader("Content-Length", Integer.toString(content.length));
        request.memory().holdResponse(content.length);
        unsent = ByteBuffer.wrap(content);
        channel.sendResponse(
                response, content.length > 0 ? new BasicEntityDetails(content.length, null) : null, context);
    }

    /** Sends a body as it arrives, possibly while the request's body is still being received. */
    private void writeStreamed(BasicHttpResponse response, BodyStream body) {
        started = true;
        bodySender = new BodySender(body, this::abort);
        connection.onResponse(request);
        boolean last = closeAfterResponse
                || !request.isComplete()
                || frontend.isClosing() && connection.endInputAfter(requestNumber);
        if (last) {
            connection.endInput();
            response.setHeader("Connection", "close");
        }
        connection.sendLargeBody(request);
        if (body.length() < 0) {
            response.setHeader("Transfer-Encoding", "chunked");
        } else {
            response.setHeader("Content-Length", Long.toString(body.length()));
        }
        try {
            channel.sendResponse(response, new BasicEntityDetails(body.length(), null), context);
        } catch (HttpException | IOException failed) {
            abort();
        }
    }

    /**
     * Closes the connection before the body is complete. The client detects this because bytes or the last chunk are
     * missing.
     */
    private void abort() {
        bodySender.cancel();
        connection.abort();
    }

    /** Number of bytes that can be written now. */
    int available() {
        return bodySender == null ? unsent.remaining() : bodySender.available();
    }

    /** Writes as much as the connection accepts. */
    void produce(DataStreamChannel output) throws IOException {
        if (bodySender != null) {
            if (bodySender.produce(output)) {
                request.releaseLargeBody();
                connection.onResponse(request);
            }
            return;
        }
        output.write(unsent);
        if (!unsent.hasRemaining()) {
            output.endStream();
        }
    }

    /** Stops writing, because the client has disconnected. */
    void cancel() {
        started = true;
        if (bodySender != null) {
            bodySender.cancel();
        }
    }
}
