package peppergauge.request;

import java.nio.ByteBuffer;

/** The writing end of a {@link BodyStream}. Event-loop thread only. */
public interface BodyWriter {

    /** The source of the bytes. Called within calls of the writer and of its stream. */
    interface Producer {

        /** Allows {@code bytes} more bytes to be written; a few bytes in transit may exceed it. */
        void grantCapacity(int bytes);

        /** No more bytes are needed. */
        void cancel();
    }

    /** The reading end. */
    BodyStream stream();

    /** Takes all bytes of the buffer, or ends the stream. */
    void write(ByteBuffer bytes);

    /** Marks the body as complete. */
    void complete();

    /** The rest of the body will not arrive. The current reader ends as broken, and all bytes are released. */
    void abort();
}
