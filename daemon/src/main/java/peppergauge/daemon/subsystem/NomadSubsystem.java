package peppergauge.daemon.subsystem;

import java.util.List;
import peppergauge.nomad.MembershipSection;
import peppergauge.nomad.NomadExtension;
import peppergauge.nomad.NomadSection;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** The subsystem of {@code [nomad]} and {@code [membership]}: an endpoint list that is read from Nomad. */
final class NomadSubsystem implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new NomadSection(), new MembershipSection());
    }

    @Override
    public Running open(Values file) {
        return new Fixed(new NomadExtension(file));
    }
}
