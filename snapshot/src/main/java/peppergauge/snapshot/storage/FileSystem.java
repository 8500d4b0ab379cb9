package peppergauge.snapshot.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/** The file operations that snapshots need; tests replace them to inject failures. Symbolic links are not followed. */
public interface FileSystem {

    /** A file that is being written sequentially. */
    interface Sink extends Closeable {

        /** Writes all remaining bytes. */
        void write(ByteBuffer bytes) throws IOException;

        /** Flushes what was written to the storage device. */
        void force() throws IOException;
    }

    /** A file lock; closing it releases the lock. */
    interface Lock extends Closeable {

        /** Returns whether the lock file is still the locked one, not another of the same name. */
        boolean isHeld();
    }

    /**
     * Checks a folder, and creates it if it is missing and its parent exists.
     *
     * @throws IOException if it is a link or not a folder, or is accessible to other users
     */
    void openFolder(Path folder) throws IOException;

    /**
     * Locks a file, and creates it if it is missing.
     *
     * @throws IOException if the lock is held, the folder belongs to another user, or the file cannot be created
     */
    Lock lock(Path file) throws IOException;

    /**
     * Reads a whole regular file.
     *
     * @throws java.nio.file.NoSuchFileException if the file does not exist
     * @throws IOException if it has more than {@code maxBytes} bytes, is not a regular file, or cannot be read
     */
    byte[] read(Path file, long maxBytes) throws IOException;

    /** Creates a file that only this user can access; an existing one is deleted first. */
    Sink create(Path file) throws IOException;

    /** Renames atomically, replacing an existing file. */
    void rename(Path from, Path to) throws IOException;

    /** Flushes the directory entries of a folder to the storage device. */
    void forceFolder(Path folder) throws IOException;

    /** Deletes a file if it exists. */
    void delete(Path file) throws IOException;
}
