package peppergauge.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import peppergauge.http.ReceiveWindow;
import peppergauge.request.BodyWriter;

/** An answer's body that is too long to be held whole here: how it comes in. */
final class StreamedResponseBody implements BodyWriter.Producer {

    private final ReceiveWindow room;
    private final Runnable notWanted;
    private BodyWriter feed;
    private boolean over;
    private long came;

    /** {@code notWanted}: called when nobody reads the rest. */
    StreamedResponseBody(ReceiveWindow room, Runnable notWanted) {
        this.room = room;
        this.notWanted = notWanted;
        room.setCapacity(0);
    }

    void begin(BodyWriter taken) {
        feed = taken;
    }

    void room(CapacityChannel capacity) throws IOException {
        room.onWindowExhausted(capacity);
    }

    boolean takesMore() {
        return !over && room.isOpen();
    }

    long came() {
        return came;
    }

    void takes(ByteBuffer part) {
        came += part.remaining();
        room.onReceived(part.remaining());
        if (over) {
            part.position(part.limit());
        } else {
            feed.write(part);
        }
    }

    void ended() {
        if (!over) {
            over = true;
            feed.complete();
        }
    }

    void broken() {
        if (!over) {
            over = true;
            feed.abort();
        }
    }

    @Override
    public void grantCapacity(int bytes) {
        room.setCapacity(bytes);
    }

    @Override
    public void cancel() {
        if (!over) {
            over = true;
            notWanted.run();
        }
    }
}
