package peppergauge.request;

import java.nio.ByteBuffer;

/** The writing end of a {@link BodyStream}. Event-loop thread only. */
public interface BodyWriter {

    /** The source of the bytes. Called within calls of the writer and of its stream. */
    interface Producer {

        /** So many more bytes may be written than were written until now; a few bytes in transit may exceed it. */
        void grantCapacity(int bytes);

        /** No more bytes are wanted. */
        void cancel();
    }

    /** The reading end. */
    BodyStream stream();

    /** Takes all bytes of the buffer, or ends the stream. */
    void write(ByteBuffer bytes);

    /** The body is complete. */
    void complete();

    /** The rest of the body will not come. The current reading is broken, and all bytes are released. */
    void abort();
}
