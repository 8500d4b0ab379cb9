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
 * The snapshot files of one sidecar in a folder: the newest and the previous one. A new snapshot is written to a third
 * file, which is renamed when it is complete and flushed, so that a crash at any moment leaves at least one of the two.
 * The files are locked against other processes. Not thread-safe.
 */
public final class SnapshotFiles implements Closeable {

    private static final int MAX_STEM_CHARS = 60;

    private final FileSystem fileSystem;
    private final Path folder;
    private final String stem;
    private final Path newest;
    private final Path previous;
    private final Path unfinished;
    private FileSystem.Lock lock;

    /**
     * An existing snapshot file.
     *
     * @param file path of the file
     * @param bytes content, null if it could not be read
     * @param failure why the file could not be read, otherwise null
     */
    public record Found(Path file, byte[] bytes, String failure) {}

    /**
     * Creates the folder if it is missing, and locks the sidecar's files.
     *
     * @throws IOException if another process uses the files, or the folder is accessible to other users
     */
    public SnapshotFiles(FileSystem fileSystem, Path folder, String sidecar) throws IOException {
        this(fileSystem, sidecar, folder);
        open();
    }

    private SnapshotFiles(FileSystem fileSystem, String sidecar, Path folder) {
        this.fileSystem = fileSystem;
        this.folder = folder.toAbsolutePath();
        this.stem = stem(sidecar);
        newest = file(".snapshot");
        previous = file(".snapshot.before");
        unfinished = file(".snapshot.new");
    }

    /** Returns the files in a folder that could not be opened yet; {@link #ensureLocked} opens it. */
    public static SnapshotFiles unopened(FileSystem fileSystem, Path folder, String sidecar) {
        return new SnapshotFiles(fileSystem, sidecar, folder);
    }

    private void open() throws IOException {
        fileSystem.openFolder(folder);
        lock = fileSystem.lock(file(".lock"));
    }

    /** Returns the start of a sidecar's file names: its name, or a valid file name with a checksum of its name. */
    static String stem(String sidecar) {
        String plain = sidecar.replaceAll("[^A-Za-z0-9_-]", "_");
        String shortened = plain.length() > MAX_STEM_CHARS ? plain.substring(0, MAX_STEM_CHARS) : plain;
        if (shortened.equals(sidecar)) {
            return sidecar;
        }
        CRC32C sum = new CRC32C();
        sum.update(sidecar.getBytes(StandardCharsets.UTF_8));
        return shortened + "." + Long.toHexString(sum.getValue());
    }

    /** Returns the path of the sidecar's file with the given suffix, which is covered by the same lock. */
    public Path file(String suffix) {
        return folder.resolve(stem + suffix);
    }

    /** Returns the absolute path of the folder. */
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
                // This file was not written yet.
            } catch (IOException unreadable) {
                found.add(new Found(file, null, describe(unreadable)));
            }
        }
        return found;
    }

    /**
     * Replaces the newest snapshot.
     *
     * @throws IOException if it cannot be written; then an earlier snapshot is still there
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
                // No snapshot was written before.
            }
            fileSystem.rename(unfinished, newest);
        } catch (IOException failed) {
            // Deleted, since it takes up space on a full disk.
            tryToDelete(unfinished);
            throw failed;
        }
        fileSystem.forceFolder(folder);
    }

    /**
     * Locks if the files are not locked, or if the lock file was replaced, as when the folder was unmounted and mounted
     * again.
     */
    public synchronized void ensureLocked() throws IOException {
        if (lock == null || !lock.isHeld()) {
            close();
            open();
        }
    }

    private void tryToDelete(Path file) {
        try {
            fileSystem.delete(file);
        } catch (IOException notDeleted) {
            // The next write replaces it.
        }
    }

    /** Describes a file system failure for log events, since its own message is often only a path. */
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
    public synchronized void close() throws IOException {
        if (lock != null) {
            lock.close();
            lock = null;
        }
    }
}
