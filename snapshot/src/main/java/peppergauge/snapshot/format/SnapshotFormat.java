package peppergauge.snapshot.format;

import java.util.HashMap;
import java.util.Map;

/** A snapshot as the bytes of a file, and back. */
public final class SnapshotFormat {

    private SnapshotFormat() {}

    public static byte[] encode(Snapshot snapshot) {
        return new Frame(
                        Frame.VERSION,
                        snapshot.writer(),
                        snapshot.name(),
                        snapshot.settings(),
                        snapshot.wallMs(),
                        Body.encode(snapshot.learned(), snapshot.addresses()))
                .encode();
    }

    /** @throws UnusableSnapshot for anything but a whole, undamaged snapshot of a version that is known here */
    public static Snapshot decode(byte[] bytes) throws UnusableSnapshot {
        Frame frame = Frame.decode(bytes);
        Map<String, String> addresses = new HashMap<>();
        return new Snapshot(
                frame.writer(),
                frame.name(),
                frame.settings(),
                frame.wallMs(),
                Body.decode(frame.body(), addresses),
                addresses);
    }
}
