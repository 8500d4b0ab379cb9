package peppergauge.snapshot.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.zip.CRC32C;

/**
 * One sidecar's snapshot files in a folder: the newest and the one before. A new one is written beside them and renamed
 * when it is complete and flushed, so that a crash at any moment leaves the newest or the one before. The files are
 * locked against other processes. Not thread-safe.
 */
public final class SnapshotFiles implements Closeable {

    private final FileSystem fileSystem;
    private final Path folder;
    private final String stem;
    private final Path newest;
    private final Path previous;
    private final Path unfinished;
    private FileSystem.Lock lock;

    /**
     * A snapshot file that exists.
     *
     * @param bytes null if it could not be read
     * @param failure why it could not be read, else null
     */
    public record Found(Path file, byte[] bytes, String failure) {}

    /**
     * Creates the folder if it is missing, and locks the sidecar's files.
     *
     * @throws IOException if another process uses them, or the folder is not for this user alone
     */
    public SnapshotFiles(FileSystem fileSystem, Path folder, String sidecar) throws IOException {
        this.fileSystem = fileSystem;
        this.folder = folder.toAbsolutePath();
        this.stem = stem(sidecar);
        newest = file(".snapshot");
        previous = file(".snapshot.before");
        unfinished = file(".snapshot.new");
        open();
    }

    private void open() throws IOException {
        fileSystem.openFolder(folder);
        lock = fileSystem.lock(file(".lock"));
    }

    /** Returns a valid file name for a sidecar, different for each. */
    static String stem(String sidecar) {
        String plain = sidecar.replaceAll("[^A-Za-z0-9_-]", "_");
        String shortened = plain.length() > 60 ? plain.substring(0, 60) : plain;
        if (shortened.equals(sidecar)) {
            return sidecar;
        }
        CRC32C sum = new CRC32C();
        sum.update(sidecar.getBytes(StandardCharsets.UTF_8));
        return shortened + "." + Long.toHexString(sum.getValue());
    }

    /** Returns the path of another file of the same sidecar, under the same lock. */
    public Path file(String ending) {
        return folder.resolve(stem + ending);
    }

    /** Returns the absolute folder. */
    public Path folder() {
        return folder;
    }

    /** Returns the existing snapshot files, the newest first. */
    public List<Found> read(long maxBytes) {
        List<Found> found = new ArrayList<>();
        for (Path file : new Path[] {newest, previous}) {
            try {
                found.add(new Found(file, fileSystem.read(file, maxBytes), null));
            } catch (NoSuchFileException none) {
                // None was written yet.
            } catch (IOException unreadable) {
                found.add(new Found(file, null, describe(unreadable)));
            }
        }
        return found;
    }

    /**
     * Replaces the newest snapshot.
     *
     * @throws IOException if it cannot be written; the snapshots before are still there
     */
    public void put(byte[] bytes) throws IOException {
        ensureLocked();
        try {
            try (FileSystem.Sink sink = fileSystem.create(unfinished)) {
                sink.write(ByteBuffer.wrap(bytes));
                sink.force();
            }
            try {
                fileSystem.rename(newest, previous);
            } catch (NoSuchFileException first) {
                // None was written yet.
            }
            fileSystem.rename(unfinished, newest);
        } catch (IOException failed) {
            // Frees the space on a full disk.
            tryToDelete(unfinished);
            throw failed;
        }
        fileSystem.forceFolder(folder);
    }

    /** Locks again if the lock file was replaced, as when the folder was unmounted and came back. */
    public void ensureLocked() throws IOException {
        if (lock == null || !lock.isHeld()) {
            close();
            open();
        }
    }

    private void tryToDelete(Path file) {
        try {
            fileSystem.delete(file);
        } catch (IOException stays) {
            // The next write replaces it.
        }
    }

    /** Describes a file system failure for log lines; its own message is often only a path. */
    public static String describe(IOException failure) {
        String kind = failure.getClass().getSimpleName();
        return kind.equals("IOException") || kind.equals("FileSystemException")
                ? failure.getMessage()
                : failure.getMessage() + ": "
                        + kind.replace("Exception", "")
                                .replaceAll("(?<=[a-z])(?=[A-Z])", " ")
                                .toLowerCase(Locale.ROOT);
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.close();
            lock = null;
        }
    }
}
