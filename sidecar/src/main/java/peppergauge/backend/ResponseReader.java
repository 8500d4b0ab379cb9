package peppergauge.backend;

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
import peppergauge.http.BodyBuffer;
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

    /** Larger bodies are streamed, or rejected if large bodies are not accepted. */
    static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    private static final byte[] NO_CONTENT = new byte[0];

    private final List<LoadField> loadFields;
    private final LargeBodies bodies;
    private final BodyBuffer body = new BodyBuffer(MAX_BUFFERED_BODY_BYTES);
    private HttpResponse head;
    /** The body if it is too large to be held in memory; otherwise null. */
    private StreamedResponseBody streamed;
    /** HttpCore's receive window of a body that is not streamed yet; null until HttpCore first exhausts it. */
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

    /** Whether the announced length is too large for the body to be held in memory. */
    boolean isLarge(EntityDetails details) {
        return details != null && details.getContentLength() > MAX_BUFFERED_BODY_BYTES;
    }

    /** Whether the body may be streamed if it is too large to be held in memory. */
    boolean acceptsLargeBody() {
        return isSuccess() && bodies.acceptsLargeBodies();
    }

    /** Returns the outcome, determined by status and headers. */
    Outcome outcome() {
        if (isSuccess()) {
            return Outcome.SUCCESS;
        }
        return isRejected() ? Outcome.OVERLOADED : Outcome.ERROR;
    }

    /**
     * Whether the server declares that the request did not run. A 503 without this header may come from a system behind
     * the server.
     */
    private boolean isRejected() {
        int status = head.getCode();
        Header mark = head.getFirstHeader(Headers.REJECTED);
        return (status == 503 || status == 504)
                && mark != null
                && mark.getValue().trim().equals("1");
    }

    /** Returns the load report in the headers; null if there is none. */
    double[] loadReport() {
        Header report = head.getFirstHeader(Headers.LOAD_REPORT);
        return LoadReportParser.parse(report == null ? null : report.getValue(), loadFields);
    }

    /** Returns the response with the body that was collected in memory. */
    Message message() {
        return new Message(null, null, Headers.endToEnd(head), body.take());
    }

    /** Returns the response with a body that is passed on as it arrives. */
    Message message(BodyStream stream) {
        return new Message(null, null, Headers.endToEnd(head), NO_CONTENT, stream);
    }

    // ---- Body ----

    /** Sets the announced length of a body that is collected in memory; -1 if unknown. */
    void expectLength(long length) {
        body.expectLength(length);
    }

    /** Called when HttpCore has used up its receive window. */
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
     * Accepts bytes of the body.
     *
     * @return false if the body is not streamed yet and these bytes make it too large for memory; then none is consumed
     */
    boolean write(ByteBuffer part) {
        if (streamed != null) {
            streamed.write(part);
            return true;
        }
        if (!body.accepts(part.remaining())) {
            return false;
        }
        body.write(part);
        return true;
    }

    /**
     * Starts passing the body on as it arrives.
     *
     * @param length in bytes; -1 if unknown
     * @param onUnwanted called when the rest is no longer needed
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
            throw new ProtocolException("response body rejected: " + length + " bytes");
        }
        streamed.open(writer);
        return writer.stream();
    }

    /** Passes on the bytes that were collected before the body turned out to be large. */
    void streamCollected() {
        streamed.write(ByteBuffer.wrap(body.take()));
    }

    boolean isStreamed() {
        return streamed != null;
    }

    /** Whether more of a streamed body may be read now. */
    boolean hasCapacity() {
        return streamed != null && streamed.hasCapacity();
    }

    /** Number of bytes of a streamed body received so far. */
    long streamedBytes() {
        return streamed == null ? 0 : streamed.receivedBytes();
    }

    /** Called when the last byte of a streamed body has been received. */
    void complete() {
        streamed.complete();
    }

    /** Called when the rest of a streamed body will not arrive; does nothing if the body is not streamed. */
    void abort() {
        if (streamed != null) {
            streamed.abort();
        }
    }

    /** Returns the error message for a body that is too large and cannot be streamed. */
    static String tooLargeMessage() {
        return "response body exceeds " + MAX_BUFFERED_BODY_BYTES + " bytes";
    }
}
