package peppergauge.daemon.part;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.daemon.start.StartSection;
import peppergauge.daemon.start.StartupExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** {@code [start]}. */
final class ColdStart implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new StartSection());
    }

    @Override
    public Part open(Values file) {
        return new Fixed(file.find(StartSection.TABLE)
                .<SidecarExtension>map(
                        table -> new StartupExtension(StartSection.pace(table), StartSection.readiness(table)))
                .orElse(SidecarExtension.NONE));
    }
}
