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
 * The journal on the disk: a magic number, then entries, only ever added to. Past its bound, and at each start, it is
 * written anew with what still counts. A tail that breaks off, as a crash leaves it, ends it; nothing behind is read.
 * Not safe for several threads.
 */
final class JournalFile implements Closeable {

    /** Of the file's name, after the sidecar's; an older word for such requests, kept so that its files are found. */
    static final String SUFFIX = ".donations";

    private static final byte[] MAGIC = {(byte) 0x89, 'P', 'G', 'D', '\r', '\n', 0x1A, 1};

    private final FileSystem disk;
    private final SnapshotFiles shelf;
    private final Path file;
    private final Path unfinished;
    private final long most;
    private FileSystem.Sink sink;
    private long length;

    /** @param most bytes that it may have */
    JournalFile(FileSystem disk, SnapshotFiles shelf, long most) {
        this.disk = disk;
        this.shelf = shelf;
        this.file = shelf.file(SUFFIX);
        this.unfinished = shelf.file(SUFFIX + ".new");
        this.most = most;
    }

    /** Puts what was kept into the ledger; returns what is wrong with the file, or null. */
    String read(Ledger ledger) {
        byte[] bytes;
        try {
            bytes = disk.read(file, 2 * most);
        } catch (NoSuchFileException none) {
            return null;
        } catch (IOException unreadable) {
            return SnapshotFiles.reason(unreadable);
        }
        if (bytes.length < MAGIC.length || !Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            return "it is no journal of a version that is known here";
        }
        int at = MAGIC.length;
        for (Entry entry = Entry.decode(bytes, at); entry != null; entry = Entry.decode(bytes, at)) {
            ledger.tell(entry);
            at += entry.size();
        }
        return at == bytes.length ? null : "its last " + (bytes.length - at) + " bytes are torn and passed over";
    }

    /** Adds entries after those that are there; written anew where there are none yet or too many. */
    void append(List<Entry> entries, Ledger ledger, boolean flush, long wallMs) throws IOException {
        int bytes = entries.stream().mapToInt(Entry::size).sum();
        if (sink == null || length + bytes > most) {
            rewrite(ledger, wallMs);
            return;
        }
        try {
            write(entries, bytes);
            if (flush) {
                sink.force();
            }
        } catch (IOException failed) {
            // Half an entry may stand there: what came after it would never be read.
            close();
            throw failed;
        }
    }

    /** Half of the bound at the most, so that it is not written anew with each entry. */
    private void rewrite(Ledger ledger, long wallMs) throws IOException {
        // First of all, so that it stays bounded while the disk fails.
        ledger.forgetOld(wallMs);
        List<Entry> kept = ledger.newest(most / 2);
        ledger.keepOnly(kept);
        close();
        shelf.ensureOurs();
        sink = disk.create(unfinished);
        try {
            sink.write(ByteBuffer.wrap(MAGIC));
            length = MAGIC.length;
            write(kept, kept.stream().mapToInt(Entry::size).sum());
            sink.force();
            disk.rename(unfinished, file);
            disk.forceFolder(shelf.folder());
        } catch (IOException failed) {
            close();
            throw failed;
        }
    }

    private void write(List<Entry> entries, int bytes) throws IOException {
        assert length + bytes <= Math.max(most, MAGIC.length + most / 2) : "past its bound: " + (length + bytes);
        ByteBuffer out = ByteBuffer.allocate(bytes);
        for (Entry entry : entries) {
            out.put(entry.encode(length + out.position()));
        }
        sink.write(out.flip());
        length += bytes;
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
