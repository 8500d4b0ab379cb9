package peppergauge.backend;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.CapacityChannel;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.http.Headers;
import peppergauge.http.ReceiveWindow;
import peppergauge.request.BodyStream;
import peppergauge.request.BodyWriter;
import peppergauge.request.LargeBodies;
import peppergauge.request.Message;
import peppergauge.settings.LoadReportParser;

/**
 * Reads one response: keeps its head, collects its body or passes a large one on, and classifies the outcome. Only the
 * event loop's thread uses it.
 */
final class ResponseReader {

    /** A larger body is streamed, or not accepted where large bodies are not. */
    private static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    private static final int INITIAL_BUFFER_BYTES = 256;
    private static final byte[] NO_CONTENT = new byte[0];

    private final List<LoadField> loadFields;
    private final LargeBodies bodies;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    private HttpResponse head;
    /** Null unless the body is too large to be held here. */
    private StreamedResponseBody streamed;
    /** Where HttpCore was allowed to read a body without a length, until the body turned out large. */
    private CapacityChannel capacityChannel;

    private int grantedBytes;

    ResponseReader(List<LoadField> loadFields, LargeBodies bodies) {
        this.loadFields = loadFields;
        this.bodies = bodies;
    }

    // ---- Head ----

    void onHead(HttpResponse response) {
        head = response;
    }

    boolean hasHead() {
        return head != null;
    }

    boolean isSuccess() {
        return head.getCode() == 200;
    }

    /** Whether the end of the body is known from a length or from chunks; otherwise it ends with the connection. */
    boolean isDelimited(EntityDetails details) {
        return details == null || details.getContentLength() >= 0 || head.containsHeader("Transfer-Encoding");
    }

    /** Whether a body of this announced length is too large to be held here. */
    boolean isLarge(EntityDetails details) {
        return details != null && details.getContentLength() > MAX_BUFFERED_BODY_BYTES;
    }

    /** Whether the body may be streamed if it is too large to be held here. */
    boolean acceptsLargeBody() {
        return isSuccess() && bodies.acceptsLargeBodies();
    }

    /** The outcome by status and headers. */
    Outcome outcome() {
        if (isSuccess()) {
            return Outcome.SUCCESS;
        }
        return isRejected() ? Outcome.OVERLOADED : Outcome.ERROR;
    }

    /** Whether the server states that the request did not run; a bare 503 may come from anything behind the server. */
    private boolean isRejected() {
        int status = head.getCode();
        Header mark = head.getFirstHeader(Headers.REJECTED);
        return (status == 503 || status == 504)
                && mark != null
                && mark.getValue().trim().equals("1");
    }

    /** The load report that came along; null if none did. */
    double[] loadReport() {
        Header report = head.getFirstHeader(Headers.LOAD_REPORT);
        return LoadReportParser.parse(report == null ? null : report.getValue(), loadFields);
    }

    /** The response with the body that was collected. */
    Message message() {
        return new Message(null, null, Headers.endToEnd(head), body.toByteArray());
    }

    /** The response with a body that is passed on as it arrives. */
    Message message(BodyStream stream) {
        return new Message(null, null, Headers.endToEnd(head), NO_CONTENT, stream);
    }

    // ---- Body ----

    /** HttpCore may read more of the body. */
    void onWindowExhausted(CapacityChannel channel) throws IOException {
        if (streamed != null) {
            streamed.onWindowExhausted(channel);
        } else if (!bodies.acceptsLargeBodies()) {
            channel.update(Integer.MAX_VALUE);
        } else {
            capacityChannel = channel;
            grantedBytes += MAX_BUFFERED_BODY_BYTES;
            channel.update(MAX_BUFFERED_BODY_BYTES);
        }
    }

    /**
     * Takes bytes of the body.
     *
     * @return false if the body is not streamed yet and with these bytes too large to be held; then none is taken
     */
    boolean write(ByteBuffer part) {
        if (streamed != null) {
            streamed.write(part);
            return true;
        }
        if (body.size() + part.remaining() > MAX_BUFFERED_BODY_BYTES) {
            return false;
        }
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        body.write(bytes, 0, bytes.length);
        return true;
    }

    /**
     * Passes the body on from here as it arrives.
     *
     * @param length in bytes; -1 if only its end tells
     * @param onUnwanted called when nobody reads the rest
     * @throws ProtocolException if a body of this length is not accepted
     */
    BodyStream startStreaming(long length, Runnable onUnwanted) throws ProtocolException, IOException {
        streamed = new StreamedResponseBody(new ReceiveWindow(grantedBytes), onUnwanted);
        if (capacityChannel != null) {
            streamed.onWindowExhausted(capacityChannel);
        }
        BodyWriter writer = bodies.openResponseBody(length, streamed);
        if (writer == null) {
            streamed = null;
            throw new ProtocolException("a response of " + length + " bytes is not accepted");
        }
        streamed.open(writer);
        return writer.stream();
    }

    /** Passes on what was collected before the body turned out large. */
    void streamCollected() {
        streamed.write(ByteBuffer.wrap(body.toByteArray()));
        body.reset();
    }

    boolean isStreamed() {
        return streamed != null;
    }

    /** Whether more of a streamed body may be read now. */
    boolean hasCapacity() {
        return streamed != null && streamed.hasCapacity();
    }

    /** Bytes of a streamed body so far. */
    long streamedBytes() {
        return streamed == null ? 0 : streamed.receivedBytes();
    }

    /** The last byte of a streamed body has been received. */
    void complete() {
        streamed.complete();
    }

    /** The rest of a streamed body never comes; does nothing for others. */
    void abort() {
        if (streamed != null) {
            streamed.abort();
        }
    }

    /** Describes a body that is not accepted. */
    static String tooLarge() {
        return "a response over " + MAX_BUFFERED_BODY_BYTES + " bytes";
    }
}
