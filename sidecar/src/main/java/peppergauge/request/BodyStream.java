package peppergauge.request;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A body that its message does not hold: its bytes are taken as they come, in their order, by one reader at a time.
 * Only the owner's thread comes here, and nothing here calls back from inside a call but where that is said.
 */
public interface BodyStream {

    /** How a flow, or one reading of it, ended. */
    enum End {
        /** Every byte was taken. */
        COMPLETE,
        /** The side that sends it ended, broke or was too slow, or what was kept is not what came. */
        BROKEN,
        /** The side that reads it left, or was too slow. */
        CANCELLED
    }

    /** Takes bytes, as many as there is room for, and moves their position: the socket's end of a reading. */
    interface Sink {

        int write(ByteBuffer bytes) throws IOException;
    }

    /** One reading of a flow, from its first byte. */
    interface Reader {

        /** Bytes that can be taken now; 0 where there are none yet, or the reading is over. */
        int available();

        /** Hands out what is there, until the other side takes no more. */
        void transferTo(Sink out) throws IOException;

        /** Null while there may be more to take; once it is not null nothing can be taken any more. */
        End end();

        /** This reader wants no more of it. */
        void cancel();
    }

    /** Told what becomes of a flow, on the owner's thread. */
    interface Listener {

        /** Its first byte was passed on and is not kept: whoever has it has it alone, and it cannot be read again. */
        default void onCommitted() {}

        /** It is over, for every reader. */
        default void onEnd(End end) {}
    }

    /** Bytes in all; -1 where only its end tells. */
    long length();

    /** Whether its first byte is still there, and more of it may be had: whether {@link #read} may be called. */
    boolean isReadableFromStart();

    /**
     * Begins to read; a reading before this one is over with it.
     *
     * @param more called when there may be more to take, or the reading is over; never from inside its own calls
     * @throws IllegalStateException unless {@link #fromStart}
     */
    Reader openReader(Runnable more);

    /** What has happened already is told at once. */
    void addListener(Listener watcher);

    /** Nobody reads it any more: what is kept of it is let go. May be called again. */
    void release();
}
