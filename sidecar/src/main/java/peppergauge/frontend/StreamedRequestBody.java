package peppergauge.frontend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import peppergauge.http.ReceiveWindow;
import peppergauge.request.BodyWriter;
import peppergauge.request.IncomingRequest;
import peppergauge.request.LargeBodies;

/**
 * Receives a request body that is too large to be held in memory: passes its bytes to a {@link BodyWriter} within the
 * capacity that the writer grants. Only the event loop's thread uses it.
 */
final class StreamedRequestBody implements LargeBodies.Upload {

    private final HttpRequestHandler handler;
    private final ReceiveWindow window;
    private IncomingRequest request;
    private BodyWriter writer;
    /** Whether no more bytes are passed on. */
    private boolean ended;
    /** Whether {@link #onReady} was called before {@link #open}, inside the call that returns the writer. */
    private boolean readyBeforeOpen;

    StreamedRequestBody(HttpRequestHandler handler, ReceiveWindow window) {
        this.handler = handler;
        this.window = window;
        window.setCapacity(0);
    }

    /** Starts passing bytes to {@code bodyWriter}. */
    void open(IncomingRequest openRequest, BodyWriter bodyWriter) {
        request = openRequest;
        writer = bodyWriter;
        if (readyBeforeOpen) {
            onReady();
        }
    }

    /** Called when HttpCore has used up its receive window. */
    void onWindowExhausted(CapacityChannel capacity) throws IOException {
        window.onWindowExhausted(capacity);
    }

    /** Whether more of the body may be read now. */
    boolean hasCapacity() {
        return !ended && window.isOpen();
    }

    /**
     * Passes bytes to the writer.
     *
     * @return false if the body has ended; then no byte of {@code part} is consumed
     */
    boolean write(ByteBuffer part) {
        if (ended) {
            return false;
        }
        window.onReceived(part.remaining());
        writer.write(part);
        return true;
    }

    /** Called when the last byte has been passed on. */
    void complete() {
        if (!ended) {
            writer.complete();
        }
    }

    /** Called when no attempt needs the body any more; further bytes are read without limit and discarded. */
    void release() {
        boolean first = !ended;
        ended = true;
        if (first && writer != null) {
            writer.abort();
        }
        window.setCapacity(Long.MAX_VALUE);
    }

    // ---- Calls of the writer ----

    @Override
    public void grantCapacity(int bytes) {
        if (!ended) {
            window.setCapacity(bytes);
        }
    }

    /** Stops reading until the response is known; then the rest is discarded. */
    @Override
    public void cancel() {
        if (!ended) {
            ended = true;
            window.setCapacity(0);
        }
    }

    @Override
    public void onReady() {
        if (writer == null) {
            readyBeforeOpen = true;
        } else {
            handler.dispatchLarge(request, writer.stream());
        }
    }

    @Override
    public void onRejected(LargeBodies.Rejection reason, double retryAfterMs) {
        ended = true;
        switch (reason) {
            case TOO_LONG -> handler.rejectLargeBody(413, "a body that is too long", 0);
            case NO_CAPACITY -> handler.rejectLargeBody(503, "no room for this body now", retryAfterMs);
            case TOO_SLOW -> handler.rejectLargeBody(408, "the body came too slowly", 0);
        }
    }
}
