package peppergauge.snapshot.format;

import java.util.HashMap;
import java.util.Map;

/** Encodes and decodes snapshot files. */
public final class SnapshotFormat {

    private SnapshotFormat() {}

    /** Encodes a snapshot as the bytes of a file. */
    public static byte[] encode(Snapshot snapshot) {
        return new SnapshotFrame(
                        SnapshotFrame.VERSION,
                        snapshot.writer(),
                        snapshot.name(),
                        snapshot.settingsDigest(),
                        snapshot.wallMs(),
                        SnapshotBody.encode(snapshot.state(), snapshot.addresses()))
                .encode();
    }

    /**
     * Decodes the bytes of a file.
     *
     * @throws UnusableSnapshotException if the file is truncated, damaged, not a snapshot, or of an unknown version
     */
    public static Snapshot decode(byte[] bytes) throws UnusableSnapshotException {
        SnapshotFrame frame = SnapshotFrame.decode(bytes);
        Map<String, String> addresses = new HashMap<>();
        return new Snapshot(
                frame.writer(),
                frame.name(),
                frame.settingsDigest(),
                frame.wallMs(),
                SnapshotBody.decode(frame.body(), addresses),
                addresses);
    }
}
