package peppergauge.daemon.part;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;
import peppergauge.snapshot.SnapshotExtension;
import peppergauge.snapshot.SnapshotSection;
import peppergauge.snapshot.storage.PosixFileSystem;

/** {@code [snapshot]}. */
final class Snapshots implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new SnapshotSection());
    }

    @Override
    public Part open(Values file) {
        return new Fixed(file.find(SnapshotSection.TABLE)
                .<SidecarExtension>map(
                        table -> new SnapshotExtension(SnapshotSection.settings(table), new PosixFileSystem()))
                .orElse(SidecarExtension.NONE));
    }
}
