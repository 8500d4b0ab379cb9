package peppergauge.snapshot;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;
import peppergauge.snapshot.format.UnusableSnapshotException;
import peppergauge.snapshot.restore.SnapshotEligibility;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * The snapshot to start with.
 *
 * @param snapshot the newest one that is valid and eligible
 * @param ageMs how long ago its state was learned
 */
record SnapshotToRestore(Snapshot snapshot, double ageMs) {

    /** Finds the snapshot to start with, and logs which one or why none was. */
    static Optional<SnapshotToRestore> find(
            SnapshotFiles files,
            SnapshotSettings settings,
            String name,
            String settingsDigest,
            double wallMs,
            Consumer<String> log) {
        List<String> rejected = new ArrayList<>();
        for (SnapshotFiles.Found found : files.read(settings.maxFileBytes())) {
            String reason = found.failure();
            if (found.bytes() != null) {
                try {
                    Snapshot snapshot = SnapshotFormat.decode(found.bytes());
                    SnapshotEligibility eligibility = SnapshotEligibility.of(
                            snapshot,
                            name,
                            settingsDigest,
                            wallMs,
                            settings.maxAge().toMillis());
                    reason = eligibility.reason();
                    if (eligibility.usable()) {
                        log.accept("starts with " + found.file() + ": " + reason + ", "
                                + snapshot.state().servers().size() + " servers"
                                + (rejected.isEmpty() ? "" : "; passed over: " + rejected));
                        return Optional.of(new SnapshotToRestore(snapshot, eligibility.ageMs()));
                    }
                } catch (UnusableSnapshotException unusable) {
                    reason = unusable.getMessage();
                }
            }
            rejected.add(found.file().getFileName() + ": " + reason);
        }
        log.accept(
                rejected.isEmpty()
                        ? "starts with nothing: there is no snapshot in " + files.folder()
                        : "starts with nothing: " + String.join("; ", rejected));
        return Optional.empty();
    }
}
