package peppergauge.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import peppergauge.http.ReceiveWindow;
import peppergauge.request.BodyWriter;

/**
 * Receives a response body that is too large to be held in memory: passes its bytes to a {@link BodyWriter} within the
 * capacity that the writer grants. Only the event loop's thread uses it.
 */
final class StreamedResponseBody implements BodyWriter.Producer {

    private final ReceiveWindow window;
    private final Runnable onUnwanted;
    private BodyWriter writer;
    /** Whether no more bytes are passed on. */
    private boolean ended;

    private long receivedBytes;

    /** Creates a body without capacity; {@code onUnwanted} is called when the rest is no longer needed. */
    StreamedResponseBody(ReceiveWindow window, Runnable onUnwanted) {
        this.window = window;
        this.onUnwanted = onUnwanted;
        window.setCapacity(0);
    }

    /** Starts passing bytes to {@code bodyWriter}. */
    void open(BodyWriter bodyWriter) {
        writer = bodyWriter;
    }

    /** Called when HttpCore has used up its receive window. */
    void onWindowExhausted(CapacityChannel capacity) throws IOException {
        window.onWindowExhausted(capacity);
    }

    /** Whether more of the body may be read now. */
    boolean hasCapacity() {
        return !ended && window.isOpen();
    }

    /** Number of bytes received so far. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Passes bytes to the writer; discards them if the body has ended. */
    void write(ByteBuffer part) {
        receivedBytes += part.remaining();
        window.onReceived(part.remaining());
        if (ended) {
            part.position(part.limit());
        } else {
            writer.write(part);
        }
    }

    /** Called when the last byte has been received. */
    void complete() {
        if (!ended) {
            ended = true;
            writer.complete();
        }
    }

    /** Called when the rest of the body will not arrive. */
    void abort() {
        if (!ended) {
            ended = true;
            writer.abort();
        }
    }

    @Override
    public void grantCapacity(int bytes) {
        window.setCapacity(bytes);
    }

    @Override
    public void cancel() {
        if (!ended) {
            ended = true;
            onUnwanted.run();
        }
    }
}
