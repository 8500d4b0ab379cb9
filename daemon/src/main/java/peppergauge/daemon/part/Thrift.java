package peppergauge.daemon.part;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.operator.Section;
import peppergauge.operator.Values;
import peppergauge.thrift.ThriftExtension;
import peppergauge.thrift.file.ThriftSection;

/** {@code [thrift]}. */
final class Thrift implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new ThriftSection());
    }

    @Override
    public Part open(Values file) {
        return new Fixed(
                file.find(ThriftSection.TABLE).isPresent() ? new ThriftExtension(file) : SidecarExtension.NONE);
    }
}
