package peppergauge.snapshot.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/** The file operations that snapshots need; tests inject failures here. Symbolic links are never followed. */
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
     * Opens a folder, and creates it if it is missing and its parent exists.
     *
     * @throws IOException if it is a link or no folder, belongs to another user, or lets others in
     */
    void openFolder(Path folder) throws IOException;

    /**
     * Locks a file, and creates it if it is missing.
     *
     * @throws IOException if another process holds the lock, or the file cannot be created
     */
    Lock lock(Path file) throws IOException;

    /**
     * Reads a whole regular file.
     *
     * @throws java.nio.file.NoSuchFileException if there is none
     * @throws IOException if it has more than {@code maxBytes} bytes, is a link or no regular file, or cannot be read
     */
    byte[] read(Path file, long maxBytes) throws IOException;

    /** Creates a file that only this user can access; an existing one is deleted first. */
    Sink create(Path file) throws IOException;

    /** Renames atomically, replacing an existing file. */
    void rename(Path from, Path to) throws IOException;

    /** Flushes a folder's entries to the storage device. */
    void forceFolder(Path folder) throws IOException;

    /** Deletes a file if it exists. */
    void delete(Path file) throws IOException;
}
