package peppergauge.daemon.part;

import java.util.List;
import java.util.Map;
import peppergauge.Additions;
import peppergauge.fleet.file.FleetSection;
import peppergauge.fleet.reader.FleetAddition;
import peppergauge.fleet.reader.KeySource;
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
        return new InService(new FleetAddition(FleetSection.settings(file), KeySource.NONE));
    }

    /** Goes by the file of the start. */
    private record InService(FleetAddition fleet) implements Part, Reports {

        @Override
        public Additions additions() {
            return fleet;
        }

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
            return fleet.report();
        }
    }
}
