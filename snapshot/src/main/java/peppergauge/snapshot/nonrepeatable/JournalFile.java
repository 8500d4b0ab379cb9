package peppergauge.snapshot.nonrepeatable;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * The journal file: a magic number, then entries that are only appended. It is rewritten with the entries that still
 * count when it reaches its size limit and at each start. A torn tail, as a crash leaves it, ends it. Not thread-safe.
 */
final class JournalFile implements Closeable {

    /** Suffix of the file name, which existing installations have. */
    static final String SUFFIX = ".donations";

    private static final byte[] MAGIC = {(byte) 0x89, 'P', 'G', 'D', '\r', '\n', 0x1A, 1};

    private final FileSystem fileSystem;
    private final SnapshotFiles files;
    private final Path file;
    private final Path unfinished;
    private final long maxBytes;
    private FileSystem.Sink sink;
    private long lengthBytes;

    /** @param maxBytes size limit */
    JournalFile(FileSystem fileSystem, SnapshotFiles files, long maxBytes) {
        this.fileSystem = fileSystem;
        this.files = files;
        this.file = files.file(SUFFIX);
        this.unfinished = files.file(SUFFIX + ".new");
        this.maxBytes = maxBytes;
    }

    /** Reads the entries into {@code ids}; returns what is wrong with the file, or null. */
    String read(NonRepeatableIds ids) {
        byte[] bytes;
        try {
            bytes = fileSystem.read(file, 2 * maxBytes);
        } catch (NoSuchFileException none) {
            return null;
        } catch (IOException unreadable) {
            return SnapshotFiles.describe(unreadable);
        }
        if (bytes.length < MAGIC.length || !Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            return "it is no journal of a version that is known here";
        }
        int position = MAGIC.length;
        for (JournalEntry entry = JournalEntry.decode(bytes, position);
                entry != null;
                entry = JournalEntry.decode(bytes, position)) {
            ids.apply(entry);
            position += entry.sizeBytes();
        }
        return position == bytes.length
                ? null
                : "its last " + (bytes.length - position) + " bytes are torn and passed over";
    }

    /** Appends entries, or rewrites the file if it is new or full. */
    void append(List<JournalEntry> entries, NonRepeatableIds ids, boolean flush, long wallMs) throws IOException {
        int bytes = entries.stream().mapToInt(JournalEntry::sizeBytes).sum();
        if (sink == null || lengthBytes + bytes > maxBytes) {
            rewrite(ids, wallMs);
            return;
        }
        try {
            write(entries, bytes);
            if (flush) {
                sink.force();
            }
        } catch (IOException failed) {
            // A torn entry may be left, after which nothing would be read.
            close();
            throw failed;
        }
    }

    /** Rewrites the file to at most half of its limit, so that the next entries can be appended. */
    private void rewrite(NonRepeatableIds ids, long wallMs) throws IOException {
        // Before anything can fail, so that the ids stay bounded while the disk fails.
        ids.removeExpired(wallMs);
        List<JournalEntry> entries = ids.newest(maxBytes / 2);
        ids.replaceWith(entries);
        close();
        files.ensureLocked();
        sink = fileSystem.create(unfinished);
        try {
            sink.write(ByteBuffer.wrap(MAGIC));
            lengthBytes = MAGIC.length;
            write(entries, entries.stream().mapToInt(JournalEntry::sizeBytes).sum());
            sink.force();
            fileSystem.rename(unfinished, file);
            fileSystem.forceFolder(files.folder());
        } catch (IOException failed) {
            close();
            throw failed;
        }
    }

    private void write(List<JournalEntry> entries, int bytes) throws IOException {
        assert lengthBytes + bytes <= Math.max(maxBytes, MAGIC.length + maxBytes / 2)
                : "past its bound: " + (lengthBytes + bytes);
        ByteBuffer out = ByteBuffer.allocate(bytes);
        for (JournalEntry entry : entries) {
            out.put(entry.encode(lengthBytes + out.position()));
        }
        sink.write(out.flip());
        lengthBytes += bytes;
    }

    @Override
    public void close() throws IOException {
        if (sink != null) {
            FileSystem.Sink old = sink;
            sink = null;
            old.close();
        }
    }
}
