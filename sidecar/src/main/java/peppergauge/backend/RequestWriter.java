package peppergauge.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import peppergauge.http.BodySender;
import peppergauge.http.Headers;
import peppergauge.request.BodyStream;
import peppergauge.request.Message;

/** Writes one request, whose body is held in memory or streamed. Only the event loop's thread uses it. */
final class RequestWriter {

    private final Message message;
    private final ByteBuffer unsent;
    /** Null until a streamed body is sent. */
    private BodySender bodySender;

    RequestWriter(Message message) {
        this.message = message;
        this.unsent = ByteBuffer.wrap(message.body());
    }

    /** Whether the body is streamed and not held in memory. */
    boolean isStreamed() {
        return message.stream() != null;
    }

    /** Whether a streamed body has been released, so that it cannot be sent. */
    boolean isBodyReleased() {
        return isStreamed() && !message.stream().isReadableFromStart();
    }

    /**
     * Writes the head.
     *
     * @param remainingMs time until the attempt times out
     * @param onBodyBroken called when the rest of a streamed body will not arrive, or the server has stopped reading it
     */
    void start(RequestChannel channel, HttpContext context, double remainingMs, Runnable onBodyBroken)
            throws HttpException, IOException {
        BasicHttpRequest request = new BasicHttpRequest(message.method(), message.target());
        for (Message.Field field : message.fields()) {
            request.addHeader(field.name(), field.value());
        }
        request.setHeader(Headers.REMAINING_TIME_MS, Long.toString((long) remainingMs));
        if (isStreamed()) {
            startStreamed(request, channel, context, onBodyBroken);
            return;
        }
        int length = message.body().length;
        if (length > 0) {
            request.setHeader("Content-Length", Integer.toString(length));
        }
        channel.sendRequest(request, length > 0 ? new BasicEntityDetails(length, null) : null, context);
    }

    private void startStreamed(
            BasicHttpRequest request, RequestChannel channel, HttpContext context, Runnable onBodyBroken)
            throws HttpException, IOException {
        long length = message.stream().length();
        if (length < 0) {
            request.setHeader("Transfer-Encoding", "chunked");
        } else {
            request.setHeader("Content-Length", Long.toString(length));
        }
        bodySender = new BodySender(message.stream(), onBodyBroken);
        channel.sendRequest(request, new BasicEntityDetails(length, null), context);
    }

    /** Number of bytes that can be written now. */
    int available() {
        return bodySender == null ? unsent.remaining() : bodySender.available();
    }

    /**
     * Writes as much as the connection accepts.
     *
     * @return whether this call has written the last byte of a streamed body
     */
    boolean produce(DataStreamChannel channel) throws IOException {
        if (bodySender != null) {
            return bodySender.produce(channel);
        }
        channel.write(unsent);
        if (!unsent.hasRemaining()) {
            channel.endStream();
        }
        return false;
    }

    /** Whether the last byte is written. */
    boolean isWritten() {
        return bodySender == null ? !unsent.hasRemaining() : bodySender.isWritten();
    }

    /**
     * Whether a streamed body has started and its last byte is not written, so that the server cannot have all of it.
     */
    boolean isTruncated() {
        return bodySender != null && !bodySender.isWritten();
    }

    /** How a streamed body ended; null while it has not. */
    BodyStream.End bodyEnd() {
        return bodySender.end();
    }

    /** Stops sending a streamed body. */
    void cancel() {
        if (bodySender != null) {
            bodySender.cancel();
        }
    }
}
