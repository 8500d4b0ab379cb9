package peppergauge.bodies.spool;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Creates the files that bodies are stored in. Called on the disk thread. */
public interface Disk {

    /** A file that no other process can open. */
    interface OpenFile extends Closeable {

        /**
         * Writes all bytes of the buffer at the end of the file.
         *
         * @throws IOException if not all were written; the contents of the file are undefined from then on
         */
        void append(ByteBuffer bytes) throws IOException;

        /**
         * Reads as many bytes as the target has remaining.
         *
         * @param position in the file
         * @throws IOException if the file has fewer bytes, or cannot be read
         */
        void read(long position, ByteBuffer target) throws IOException;
    }

    /** @throws IOException if no file can be created */
    OpenFile create() throws IOException;
}
