package peppergauge.bodies.spool;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Where bodies are written: a folder, or what a test puts in its place. */
public interface Disk {

    /** One file, which nobody else can open. */
    interface Place extends Closeable {

        /**
         * Writes all of it behind what is there.
         *
         * @throws IOException if it could not be written in whole: what the file holds from then on is not known
         */
        void append(ByteBuffer bytes) throws IOException;

        /**
         * Reads into the buffer's room.
         *
         * @param at where in the file
         * @throws IOException if the file holds fewer bytes, or cannot be read
         */
        void read(long at, ByteBuffer into) throws IOException;
    }

    /** @throws IOException if no file can be had */
    Place create() throws IOException;
}
