package peppergauge.fleet.storage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.snapshot.format.SnapshotFrame;
import peppergauge.snapshot.format.UnusableSnapshotException;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * File of one record: deflated JSON in the frame of a snapshot. A crash at any moment leaves the newest record or the
 * previous one. Not thread-safe.
 *
 * @param <T> type of the record
 */
public final class RecordFile<T> implements Closeable {

    /** Format version, part of the digest in each file; files of another version are not read. */
    private static final int FORMAT = 1;

    static final long MAX_BYTES = 256 << 20;

    /** Receives files that cannot be used. */
    @FunctionalInterface
    public interface UnusableFileListener {

        /** Called with the file and the reason, before an older file is tried. */
        void onUnusableFile(String file, String reason);
    }

    private final SnapshotFiles files;
    private final String name;
    private final String recordDigest;
    private final Class<T> type;

    /**
     * Opens the file and locks it.
     *
     * @param name name of the instance
     * @param recordName name of the record's type, part of the file name
     * @throws IOException if another process holds the lock, or the folder is accessible to other users
     */
    public RecordFile(FileSystem fileSystem, Path folder, String name, String recordName, Class<T> type)
            throws IOException {
        this.name = name;
        this.type = type;
        recordDigest = recordDigest(recordName);
        files = new SnapshotFiles(fileSystem, folder, name + "-" + recordName);
    }

    /** Returns the digest in place of a snapshot's settings digest, so that neither file is read as the other. */
    private static String recordDigest(String recordName) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256")
                            .digest(("fleet " + recordName + " " + FORMAT).getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Returns the newest usable record, empty if there is none. */
    public Optional<T> read(UnusableFileListener listener) {
        for (SnapshotFiles.Found found : files.read(MAX_BYTES)) {
            try {
                if (found.bytes() != null) {
                    return Optional.of(decode(found.bytes()));
                }
                listener.onUnusableFile(String.valueOf(found.file()), found.failure());
            } catch (UnusableSnapshotException | IllegalArgumentException unusable) {
                listener.onUnusableFile(String.valueOf(found.file()), unusable.getMessage());
            }
        }
        return Optional.empty();
    }

    private T decode(byte[] bytes) throws UnusableSnapshotException {
        SnapshotFrame frame = SnapshotFrame.decode(bytes);
        if (!frame.settingsDigest().equals(recordDigest)) {
            throw new IllegalArgumentException("file has another record type or format version: expected digest "
                    + recordDigest + " but was " + frame.settingsDigest());
        }
        if (!frame.name().equals(name)) {
            throw new IllegalArgumentException("expected a file of instance " + name + ", got one of " + frame.name());
        }
        return JsonCodec.read(new InflaterInputStream(new ByteArrayInputStream(frame.body())), type);
    }

    /**
     * Writes a record and returns when it is on disk.
     *
     * @param nowMs Unix time, ms
     * @throws IOException if it could not be written; the previous record is still available
     */
    public void write(T value, long nowMs) throws IOException {
        // Compresses the JSON while writing it: that of a large fleet would not fit into memory beside its reports.
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream out = new DeflaterOutputStream(body, deflater)) {
            JsonCodec.write(value, out);
        } finally {
            deflater.end();
        }
        byte[] bytes = new SnapshotFrame(
                        SnapshotFrame.VERSION, "peppergauge fleet", name, recordDigest, nowMs, body.toByteArray())
                .encode();
        if (bytes.length > MAX_BYTES) {
            throw new IOException("record of " + bytes.length + " bytes exceeds the limit of " + MAX_BYTES + " bytes");
        }
        files.put(bytes);
    }

    @Override
    public void close() throws IOException {
        files.close();
    }
}
