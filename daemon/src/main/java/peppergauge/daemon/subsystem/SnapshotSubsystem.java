package peppergauge.daemon.subsystem;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;
import peppergauge.snapshot.SnapshotExtension;
import peppergauge.snapshot.SnapshotSection;
import peppergauge.snapshot.storage.PosixFileSystem;

/** The subsystem of {@code [snapshot]}: learned state that is persisted across restarts. */
final class SnapshotSubsystem implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new SnapshotSection());
    }

    @Override
    public Running open(Values file) {
        return new Fixed(file.find(SnapshotSection.TABLE)
                .<SidecarExtension>map(
                        table -> new SnapshotExtension(SnapshotSection.settings(table), new PosixFileSystem()))
                .orElse(SidecarExtension.NONE));
    }
}
