package peppergauge.daemon.part;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import peppergauge.SidecarExtension;
import peppergauge.fleet.client.FleetClientConfig;
import peppergauge.fleet.client.FleetExtension;
import peppergauge.fleet.file.FleetSection;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** {@code [fleet]}. Outermost, for it counts what clients see. */
final class Fleet implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new FleetSection());
    }

    @Override
    public Part open(Values file) {
        Optional<FleetClientConfig> settings = FleetSection.settings(file);
        return settings.isEmpty()
                ? new Fixed(SidecarExtension.NONE)
                : new InService(new FleetExtension(settings.get()));
    }

    /** Goes by the file of the start. */
    private record InService(FleetExtension additions) implements Part, Reports {

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
            return additions.report();
        }
    }
}
