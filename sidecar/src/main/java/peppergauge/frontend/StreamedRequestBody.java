package peppergauge.frontend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import peppergauge.http.ReceiveWindow;
import peppergauge.request.BodyWriter;
import peppergauge.request.IncomingRequest;
import peppergauge.request.LargeBodies;

/** A request's body that is too long to be held whole here: how it comes in, and what is said to that. */
final class StreamedRequestBody implements LargeBodies.Upload {

    private final HttpRequestHandler handler;
    private final ReceiveWindow room;
    private IncomingRequest asked;
    private BodyWriter feed;
    private boolean over;
    /** Refused or opened from inside the call that announced it, before there was a feed. */
    private boolean opensAtOnce;

    StreamedRequestBody(HttpRequestHandler handler, ReceiveWindow room) {
        this.handler = handler;
        this.room = room;
        room.setCapacity(0);
    }

    void begin(IncomingRequest opening, BodyWriter taken) {
        asked = opening;
        feed = taken;
        if (opensAtOnce) {
            onReady();
        }
    }

    void room(CapacityChannel capacity) throws IOException {
        room.onWindowExhausted(capacity);
    }

    boolean takesMore() {
        return !over && room.isOpen();
    }

    /** Whether these bytes were taken: not once the body is let go. */
    boolean takes(ByteBuffer part) {
        if (over) {
            return false;
        }
        room.onReceived(part.remaining());
        feed.write(part);
        return true;
    }

    void ended() {
        if (!over) {
            feed.complete();
        }
    }

    /** No attempt needs it any more. */
    void letGo() {
        boolean first = !over;
        over = true;
        if (first && feed != null) {
            feed.abort();
        }
        room.setCapacity(Long.MAX_VALUE);
    }

    // ---- What the feed asks for ----

    @Override
    public void grantCapacity(int bytes) {
        if (!over) {
            room.setCapacity(bytes);
        }
    }

    @Override
    public void cancel() {
        // Nothing more is read before the answer is known, and after that it is thrown away.
        if (!over) {
            over = true;
            room.setCapacity(0);
        }
    }

    @Override
    public void onReady() {
        if (feed == null) {
            opensAtOnce = true;
        } else {
            handler.open(asked, feed.stream());
        }
    }

    @Override
    public void onRejected(LargeBodies.Rejection why, double retryAfterMs) {
        over = true;
        switch (why) {
            case TOO_LONG -> handler.refused(413, "a body that is too long", 0);
            case NO_CAPACITY -> handler.refused(503, "no room for this body now", retryAfterMs);
            case TOO_SLOW -> handler.refused(408, "the body came too slowly", 0);
        }
    }
}
