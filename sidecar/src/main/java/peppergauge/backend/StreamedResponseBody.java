package peppergauge.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import peppergauge.http.ReceiveWindow;
import peppergauge.request.BodyWriter;

/**
 * Receives a response body that is too large to be held in memory: passes its bytes to a {@link BodyWriter} within the
 * capacity that this grants. Only the event loop's thread uses it.
 */
final class StreamedResponseBody implements BodyWriter.Producer {

    private final ReceiveWindow window;
    private final Runnable onUnwanted;
    private BodyWriter writer;
    /** Nothing more is passed on. */
    private boolean ended;

    private long receivedBytes;

    /** {@code onUnwanted}: called when nobody reads the rest. */
    StreamedResponseBody(ReceiveWindow window, Runnable onUnwanted) {
        this.window = window;
        this.onUnwanted = onUnwanted;
        window.setCapacity(0);
    }

    /** Starts passing bytes on. */
    void open(BodyWriter bodyWriter) {
        writer = bodyWriter;
    }

    /** HttpCore has used up the capacity that it had. */
    void onWindowExhausted(CapacityChannel capacity) throws IOException {
        window.onWindowExhausted(capacity);
    }

    /** Whether more may be read now. */
    boolean hasCapacity() {
        return !ended && window.isOpen();
    }

    /** Bytes received so far. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Passes bytes on; discards them if the body has ended. */
    void write(ByteBuffer part) {
        receivedBytes += part.remaining();
        window.onReceived(part.remaining());
        if (ended) {
            part.position(part.limit());
        } else {
            writer.write(part);
        }
    }

    /** The last byte has been received. */
    void complete() {
        if (!ended) {
            ended = true;
            writer.complete();
        }
    }

    /** The rest never comes. */
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
