package peppergauge.snapshot.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/** What is asked of the file system, each of which can fail; tests put failures in here. Links are never followed. */
public interface FileSystem {

    /** A file being written, at its end. */
    interface Sink extends Closeable {

        /** Writes all of it. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns when it would outlive the machine, as far as the disk keeps its word. */
        void force() throws IOException;
    }

    /** A hold on a lock; closing it lets go. */
    interface Lock extends Closeable {

        /** Whether the lock file is still the one that is held: another could be made where it was deleted. */
        boolean holds();
    }

    /**
     * The folder, made if it is missing and its parent is there.
     *
     * @throws IOException if it is a link or no folder, belongs to another user, or lets others in
     */
    void openFolder(Path folder) throws IOException;

    /** @throws IOException if another process has it, or there can be no lock file */
    Lock lock(Path file) throws IOException;

    /**
     * A whole plain file.
     *
     * @throws java.nio.file.NoSuchFileException if there is none
     * @throws IOException if it has more than {@code most} bytes, is a link or no file, or cannot be read
     */
    byte[] read(Path file, long most) throws IOException;

    /** A new file for this user only; one that is there already is deleted first. */
    Sink create(Path file) throws IOException;

    /** Takes the place of what is there, at once. */
    void rename(Path from, Path to) throws IOException;

    void forceFolder(Path folder) throws IOException;

    /** Nothing happens if there is none. */
    void delete(Path file) throws IOException;
}
