package peppergauge.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import peppergauge.http.Room;
import peppergauge.request.BodyWriter;

/** An answer's body that is too long to be held whole here: how it comes in. */
final class LongAnswer implements BodyWriter.Producer {

    private final Room room;
    private final Runnable notWanted;
    private BodyWriter feed;
    private boolean over;
    private long came;

    /** {@code notWanted}: called when nobody reads the rest. */
    LongAnswer(Room room, Runnable notWanted) {
        this.room = room;
        this.notWanted = notWanted;
        room.set(0);
    }

    void begin(BodyWriter taken) {
        feed = taken;
    }

    void room(CapacityChannel capacity) throws IOException {
        room.ask(capacity);
    }

    boolean takesMore() {
        return !over && room.isOpen();
    }

    long came() {
        return came;
    }

    void takes(ByteBuffer part) {
        came += part.remaining();
        room.came(part.remaining());
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
        room.set(bytes);
    }

    @Override
    public void cancel() {
        if (!over) {
            over = true;
            notWanted.run();
        }
    }
}
