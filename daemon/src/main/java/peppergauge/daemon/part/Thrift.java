package peppergauge.daemon.part;

import java.util.List;
import peppergauge.Additions;
import peppergauge.operator.Section;
import peppergauge.operator.Values;
import peppergauge.thrift.ThriftAddition;
import peppergauge.thrift.file.ThriftSection;

/** {@code [thrift]}. */
final class Thrift implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new ThriftSection());
    }

    @Override
    public Part open(Values file) {
        return new Fixed(file.find(ThriftSection.TABLE).isPresent() ? new ThriftAddition(file) : Additions.NONE);
    }
}
