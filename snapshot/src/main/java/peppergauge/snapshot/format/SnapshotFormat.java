package peppergauge.snapshot.format;

import java.util.HashMap;
import java.util.Map;

/** Encodes and decodes snapshot files. */
public final class SnapshotFormat {

    private SnapshotFormat() {}

    /** Returns the bytes of the file. */
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
     * Decodes a file.
     *
     * @throws UnusableSnapshotException for anything but a whole, undamaged snapshot of a version that is known here
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
