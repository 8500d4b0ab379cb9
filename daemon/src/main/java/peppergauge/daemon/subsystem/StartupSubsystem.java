package peppergauge.daemon.subsystem;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.daemon.startup.StartupExtension;
import peppergauge.daemon.startup.StartupSection;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** The subsystem of {@code [start]}: startup of a sidecar that shares a discovery service with many others. */
final class StartupSubsystem implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new StartupSection());
    }

    @Override
    public Running open(Values file) {
        return new Fixed(file.find(StartupSection.TABLE)
                .<SidecarExtension>map(table ->
                        new StartupExtension(StartupSection.pollSettings(table), StartupSection.readiness(table)))
                .orElse(SidecarExtension.NONE));
    }
}
