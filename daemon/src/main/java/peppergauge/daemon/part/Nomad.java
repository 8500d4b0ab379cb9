package peppergauge.daemon.part;

import java.util.List;
import peppergauge.nomad.MembershipSection;
import peppergauge.nomad.NomadExtension;
import peppergauge.nomad.NomadSection;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** {@code [nomad]} and {@code [membership]}. */
final class Nomad implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new NomadSection(), new MembershipSection());
    }

    @Override
    public Part open(Values file) {
        return new Fixed(new NomadExtension(file));
    }
}
