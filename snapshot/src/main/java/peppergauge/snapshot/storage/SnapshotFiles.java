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
 * One sidecar's files in a folder that no other process writes to: the newest snapshot and the one before. A new one
 * is written beside them and takes its place only when it is whole and flushed, so that an end at any moment leaves
 * the newest or the one before. Not safe for several threads.
 */
public final class SnapshotFiles implements Closeable {

    private final FileSystem disk;
    private final Path folder;
    private final String stem;
    private final Path newest;
    private final Path before;
    private final Path unfinished;
    private FileSystem.Lock lock;

    /** @param bytes null where it could not be read, and {@code why} says why not */
    public record Found(Path file, byte[] bytes, String why) {}

    /**
     * Makes the folder if it is missing, and locks the sidecar's files.
     *
     * @throws IOException if another process uses them, or the folder is not for this user alone
     */
    public SnapshotFiles(FileSystem disk, Path folder, String sidecar) throws IOException {
        this.disk = disk;
        this.folder = folder.toAbsolutePath();
        this.stem = stem(sidecar);
        newest = file(".snapshot");
        before = file(".snapshot.before");
        unfinished = file(".snapshot.new");
        open();
    }

    private void open() throws IOException {
        disk.openFolder(folder);
        lock = disk.lock(file(".lock"));
    }

    /** A name that is one file name on any file system; two sidecars never have the same. */
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

    /** A further file of the same sidecar, under the same lock. */
    public Path file(String ending) {
        return folder.resolve(stem + ending);
    }

    public Path folder() {
        return folder;
    }

    /** What is there, the newest first; nothing where nothing is. */
    public List<Found> read(long most) {
        List<Found> found = new ArrayList<>();
        for (Path file : new Path[] {newest, before}) {
            try {
                found.add(new Found(file, disk.read(file, most), null));
            } catch (NoSuchFileException none) {
                // Nothing was kept yet.
            } catch (IOException unreadable) {
                found.add(new Found(file, null, reason(unreadable)));
            }
        }
        return found;
    }

    /** Puts a new snapshot in the place of the newest; on an {@link IOException} what was kept is still there. */
    public void put(byte[] bytes) throws IOException {
        ensureOurs();
        try {
            try (FileSystem.Sink sink = disk.create(unfinished)) {
                sink.write(ByteBuffer.wrap(bytes));
                sink.force();
            }
            try {
                disk.rename(newest, before);
            } catch (NoSuchFileException first) {
                // Nothing was kept yet.
            }
            disk.rename(unfinished, newest);
        } catch (IOException failed) {
            // On a full disk what was written of it is room for somebody.
            tryToDelete(unfinished);
            throw failed;
        }
        disk.forceFolder(folder);
    }

    /** Where the folder went and came back, another process may have locked what is there now. */
    public void ensureOurs() throws IOException {
        if (lock == null || !lock.holds()) {
            close();
            open();
        }
    }

    private void tryToDelete(Path file) {
        try {
            disk.delete(file);
        } catch (IOException stays) {
            // The next one takes its place.
        }
    }

    /** What a failure of the file system says, for people: its messages are often but a path. */
    public static String reason(IOException failure) {
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
