package peppergauge.daemon.part;

import java.util.List;
import peppergauge.Additions;
import peppergauge.daemon.start.StartAddition;
import peppergauge.daemon.start.StartSection;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** {@code [start]}. */
final class ColdStart implements Subsystem {

    @Override
    public List<Section> sections() {
        return List.of(new StartSection());
    }

    @Override
    public Part open(Values file) {
        return new Fixed(file.find(StartSection.TABLE)
                .<Additions>map(table -> new StartAddition(StartSection.pace(table), StartSection.readiness(table)))
                .orElse(Additions.NONE));
    }
}
