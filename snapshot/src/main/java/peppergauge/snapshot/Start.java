package peppergauge.snapshot;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;
import peppergauge.snapshot.format.UnusableSnapshot;
import peppergauge.snapshot.restore.Recall;
import peppergauge.snapshot.storage.SnapshotFiles;

/** Finds the snapshot to start with: the newest that is whole and may be used. */
record Start(Snapshot snapshot, double ageMs) {

    /** Says in one line which was taken, or why none was. */
    static Optional<Start> find(
            SnapshotFiles shelf,
            SnapshotSettings settings,
            String name,
            String meaning,
            double wallMs,
            Consumer<String> log) {
        List<String> passedOver = new ArrayList<>();
        for (SnapshotFiles.Found found : shelf.read(settings.mostSize())) {
            String why = found.why();
            if (found.bytes() != null) {
                try {
                    Snapshot snapshot = SnapshotFormat.decode(found.bytes());
                    Recall recall = Recall.of(
                            snapshot, name, meaning, wallMs, settings.mostAge().toMillis());
                    why = recall.why();
                    if (recall.taken()) {
                        log.accept("starts with " + found.file() + ": " + why + ", "
                                + snapshot.learned().servers().size() + " servers"
                                + (passedOver.isEmpty() ? "" : "; passed over: " + passedOver));
                        return Optional.of(new Start(snapshot, recall.ageMs()));
                    }
                } catch (UnusableSnapshot unusable) {
                    why = unusable.getMessage();
                }
            }
            passedOver.add(found.file().getFileName() + ": " + why);
        }
        log.accept(
                passedOver.isEmpty()
                        ? "starts with nothing: there is no snapshot in " + shelf.folder()
                        : "starts with nothing: " + String.join("; ", passedOver));
        return Optional.empty();
    }
}
