package peppergauge.daemon.subsystem;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import peppergauge.SidecarExtension;
import peppergauge.fleet.file.FleetSection;
import peppergauge.fleet.reader.FleetExtension;
import peppergauge.fleet.reader.ReaderSettings;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** The subsystem of {@code [fleet]}: the client of the fleet service. Outermost, since it counts what clients see. */
final class FleetSubsystem implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new FleetSection());
    }

    @Override
    public Running open(Values file) {
        Optional<ReaderSettings> settings = FleetSection.settings(file);
        return settings.isEmpty()
                ? new Fixed(SidecarExtension.NONE)
                : new RunningFleetClient(new FleetExtension(settings.get()));
    }

    /** Configured once, at the start. */
    private record RunningFleetClient(FleetExtension extension) implements Running, StatusReporter {

        @Override
        public Change prepare(Values file) {
            return Change.NONE;
        }

        @Override
        public String command() {
            return "fleet";
        }

        @Override
        public Map<String, Object> report() {
            return extension.report();
        }
    }
}
