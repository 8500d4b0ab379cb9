package peppergauge.daemon.subsystem;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;
import peppergauge.thrift.ThriftExtension;
import peppergauge.thrift.file.ThriftSection;

/** The subsystem of {@code [thrift]}: the Thrift protocol. */
final class ThriftSubsystem implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new ThriftSection());
    }

    @Override
    public Running open(Values file) {
        return new Fixed(
                file.find(ThriftSection.TABLE).isPresent() ? new ThriftExtension(file) : SidecarExtension.NONE);
    }
}
