package peppergauge.fleet.disk;

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
import java.util.function.Consumer;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import peppergauge.fleet.wire.Json;
import peppergauge.snapshot.format.SnapshotFrame;
import peppergauge.snapshot.format.UnusableSnapshotException;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * One record on disk, deflated JSON in the frame of a snapshot: an end at any moment leaves the newest or the one
 * before. Not safe for several threads.
 *
 * @param <T> of the record
 */
public final class KeptFile<T> implements Closeable {

    /** Written with each file; a file of another is not read. Greater with each change that an older one misreads. */
    private static final int FORMAT = 1;

    static final long MOST_BYTES = 256 << 20;

    private final SnapshotFiles shelf;
    private final String name;
    private final String kind;
    private final Class<T> type;

    /**
     * @param name of the instance
     * @param what is kept here, a word
     * @throws IOException if another process uses it, or the folder is not for this user alone
     */
    public KeptFile(FileSystem disk, Path folder, String name, String what, Class<T> type) throws IOException {
        this.name = name;
        this.type = type;
        kind = kind(what);
        shelf = new SnapshotFiles(disk, folder, name + "-" + what);
    }

    /** Where a snapshot has its settings: no snapshot, and no file of another format, is taken for this. */
    private static String kind(String what) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256")
                            .digest(("fleet " + what + " " + FORMAT).getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** The newest that is whole, else the one before; empty where there is neither. */
    public Optional<T> read(Consumer<String> log) {
        for (SnapshotFiles.Found found : shelf.read(MOST_BYTES)) {
            try {
                if (found.bytes() != null) {
                    return Optional.of(decode(found.bytes()));
                }
                log.accept(found.file() + " is not used: " + found.failure());
            } catch (UnusableSnapshotException | IllegalArgumentException unusable) {
                log.accept(found.file() + " is not used: " + unusable.getMessage());
            }
        }
        return Optional.empty();
    }

    private T decode(byte[] bytes) throws UnusableSnapshotException {
        SnapshotFrame frame = SnapshotFrame.decode(bytes);
        if (!frame.settingsDigest().equals(kind)) {
            throw new IllegalArgumentException("it is of another kind or format");
        }
        if (!frame.name().equals(name)) {
            throw new IllegalArgumentException("it is of another instance, " + frame.name());
        }
        return Json.read(new InflaterInputStream(new ByteArrayInputStream(frame.body())), type);
    }

    /** Returns when it is on disk; on an {@link IOException} what was there still is. */
    public void write(T value, long nowMs) throws IOException {
        // Accounts of a large fleet are a large part of the memory that there is: never whole in it twice.
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream packing = new DeflaterOutputStream(body, deflater)) {
            Json.write(value, packing);
        } finally {
            deflater.end();
        }
        byte[] bytes = new SnapshotFrame(
                        SnapshotFrame.VERSION, "peppergauge fleet", name, kind, nowMs, body.toByteArray())
                .encode();
        if (bytes.length > MOST_BYTES) {
            throw new IOException("it would take " + bytes.length + " bytes, and at most " + MOST_BYTES + " are read");
        }
        shelf.put(bytes);
    }

    @Override
    public void close() throws IOException {
        shelf.close();
    }
}
