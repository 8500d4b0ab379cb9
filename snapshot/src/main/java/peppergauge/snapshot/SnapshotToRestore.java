package peppergauge.snapshot;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;
import peppergauge.snapshot.format.UnusableSnapshotException;
import peppergauge.snapshot.restore.SnapshotEligibility;
import peppergauge.snapshot.storage.EventLog;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * The snapshot that a start restores.
 *
 * @param snapshot the newest snapshot that is valid and eligible
 * @param ageMs time since its state was learned
 */
record SnapshotToRestore(Snapshot snapshot, double ageMs) {

    /** Finds the snapshot to restore, and logs which file was selected or why none was. */
    static Optional<SnapshotToRestore> find(
            SnapshotFiles files,
            SnapshotSettings settings,
            String name,
            String settingsDigest,
            double wallMs,
            EventLog log) {
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
                        log.event(
                                "snapshot_selected",
                                "file",
                                found.file(),
                                "reason",
                                reason,
                                "servers",
                                snapshot.state().servers().size(),
                                "rejected",
                                rejected.isEmpty() ? "none" : String.join("; ", rejected));
                        return Optional.of(new SnapshotToRestore(snapshot, eligibility.ageMs()));
                    }
                } catch (UnusableSnapshotException unusable) {
                    reason = unusable.getMessage();
                }
            }
            rejected.add(found.file().getFileName() + ": " + reason);
        }
        log.event(
                "snapshot_not_restored",
                "reason",
                rejected.isEmpty() ? "the folder has no snapshot" : String.join("; ", rejected),
                "folder",
                files.folder());
        return Optional.empty();
    }
}
