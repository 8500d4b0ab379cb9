package peppergauge.request;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A streamed body: its message does not hold it, and one reader at a time reads it as it arrives. Event-loop thread
 * only. Methods invoke no callbacks unless documented.
 */
public interface BodyStream {

    /** How a body, or one reading of it, ended. */
    enum End {
        /** All bytes were read. */
        COMPLETE,
        /** The sender failed or was too slow, or the buffered bytes were corrupted. */
        BROKEN,
        /** The reader cancelled or was too slow. */
        CANCELLED
    }

    /** Where a reader writes to, usually a socket. */
    interface Sink {

        /** Takes as many bytes as there is capacity for, and advances the buffer's position. */
        int write(ByteBuffer bytes) throws IOException;
    }

    /** Reads a body once, from its first byte. */
    interface Reader {

        /** Bytes that can be read now; 0 if none has arrived, or the reading has ended. */
        int available();

        /** Writes the available bytes, as many as the sink takes. */
        void transferTo(Sink sink) throws IOException;

        /** How the reading ended; null while more bytes may come. */
        End end();

        /** Stops reading. */
        void cancel();
    }

    /** Is notified of events of the body on the event-loop thread. */
    interface Listener {

        /** The first byte was forwarded and not buffered: the body cannot be read again. */
        default void onCommitted() {}

        /** The body has ended for every reader. */
        default void onEnd(End end) {}
    }

    /** The length in bytes; -1 if unknown until the body ends. */
    long length();

    /** Whether it can be read from its first byte, and so whether {@link #openReader} may be called. */
    boolean isReadableFromStart();

    /**
     * Starts reading from the first byte; cancels the previous reader.
     *
     * @param onAvailable run when more bytes may be available or the reading has ended; never within the reader's calls
     * @throws IllegalStateException unless {@link #isReadableFromStart}
     */
    Reader openReader(Runnable onAvailable);

    /**
     * Sets the listener, which is notified immediately of events that have happened already. A later listener replaces
     * it.
     */
    void addListener(Listener listener);

    /** Releases all buffered bytes; no reader can be opened afterwards. May be called several times. */
    void release();
}
