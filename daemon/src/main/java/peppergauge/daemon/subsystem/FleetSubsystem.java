package peppergauge.daemon.subsystem;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import peppergauge.SidecarExtension;
import peppergauge.fleet.client.FleetClientConfig;
import peppergauge.fleet.client.FleetExtension;
import peppergauge.fleet.file.FleetSection;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** The subsystem of {@code [fleet]}: the client of the fleet service. */
final class FleetSubsystem implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new FleetSection());
    }

    @Override
    public Running open(Values file) {
        Optional<FleetClientConfig> settings = FleetSection.settings(file);
        return settings.isEmpty()
                ? new Fixed(SidecarExtension.NONE)
                : new RunningFleetClient(new FleetExtension(settings.get()));
    }

    /** A running client, which a reload does not change. */
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
