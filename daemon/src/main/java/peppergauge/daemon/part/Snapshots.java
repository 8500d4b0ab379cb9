package peppergauge.daemon.part;

import java.util.List;
import peppergauge.Additions;
import peppergauge.operator.Section;
import peppergauge.operator.Values;
import peppergauge.snapshot.SnapshotAddition;
import peppergauge.snapshot.SnapshotSection;
import peppergauge.snapshot.disk.RealDisk;

/** {@code [snapshot]}. */
final class Snapshots implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new SnapshotSection());
    }

    @Override
    public Part open(Values file) {
        return new Fixed(file.find(SnapshotSection.TABLE)
                .<Additions>map(table -> new SnapshotAddition(SnapshotSection.settings(table), new RealDisk()))
                .orElse(Additions.NONE));
    }
}
