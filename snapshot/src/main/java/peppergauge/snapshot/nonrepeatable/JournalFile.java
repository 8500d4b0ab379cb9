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
 * The journal file: a magic number, followed by entries that are only appended. It is rewritten with the unexpired
 * entries at the first append after a start or a failure, and when it reaches its size limit. An incomplete entry, as
 * a crash leaves it, ends the journal. Not thread-safe.
 */
final class JournalFile implements Closeable {

    /** Suffix of the file name; it must not change, since files of existing installations have it. */
    static final String SUFFIX = ".donations";

    /** Magic number, whose last byte is the version of the format. */
    private static final byte[] MAGIC = {(byte) 0x89, 'P', 'G', 'D', '\r', '\n', 0x1A, 1};

    private final FileSystem fileSystem;
    private final SnapshotFiles files;
    private final Path file;
    private final Path unfinished;
    private final long maxBytes;
    private FileSystem.Sink sink;
    private long lengthBytes;

    /**
     * Creates the journal; the file is written from the first append on.
     *
     * @param maxBytes size limit of the file
     */
    JournalFile(FileSystem fileSystem, SnapshotFiles files, long maxBytes) {
        this.fileSystem = fileSystem;
        this.files = files;
        this.file = files.file(SUFFIX);
        this.unfinished = files.file(SUFFIX + ".new");
        this.maxBytes = maxBytes;
    }

    /**
     * Reads the entries into {@code ids}. Returns a description of damage to the file, null if there is none.
     *
     * @throws IOException if the file cannot be read, so that it is not known what was sent
     */
    String read(NonRepeatableIds ids) throws IOException {
        byte[] bytes;
        try {
            bytes = fileSystem.read(file, 2 * maxBytes);
        } catch (NoSuchFileException none) {
            return null;
        }
        if (bytes.length < MAGIC.length || !Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            return "it is not a journal of version " + MAGIC[MAGIC.length - 1];
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
                : "its last " + (bytes.length - position) + " bytes are truncated or damaged and were ignored";
    }

    /** Appends entries, or rewrites the file if it is not open or has no room. */
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
            // The file may end with an incomplete entry, and entries after it would not be read.
            close();
            throw failed;
        }
    }

    /** Rewrites the file with at most half of its size limit, so that the next entries can be appended. */
    private void rewrite(NonRepeatableIds ids, long wallMs) throws IOException {
        // Done before anything can fail, so that the number of ids stays bounded while the disk fails.
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
                : "journal exceeds its size limit: " + (lengthBytes + bytes);
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
