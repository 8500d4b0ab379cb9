package peppergauge.lab.fault;

import java.util.List;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Values;

/**
 * Section {@code [[fault]]} of an operator file. Checks that each target matches a process or link that the fault
 * applies to.
 */
public abstract class FaultSection implements Section {

    /** Returns the names of the processes and links that the file defines. */
    protected abstract List<String> targets(Values file);

    /** Returns the names of the backend servers, the only processes that {@link FaultKind#LEAVE} applies to. */
    protected abstract List<String> servers(Values file);

    @Override
    public Table table() {
        return ScheduledFault.TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        for (Values values : file.all(ScheduledFault.TABLE)) {
            FaultKind what = values.get(ScheduledFault.WHAT);
            String target = values.get(ScheduledFault.TARGET);
            List<String> matching = targets(file).stream()
                    .filter(name -> TopologyNames.matches(target, name))
                    .filter(name -> name.contains(TopologyNames.LINK_SEPARATOR) == what.affectsLinks())
                    .toList();
            if (matching.isEmpty()) {
                problems.add(
                        values.place(ScheduledFault.TARGET),
                        "fault.target",
                        '"' + target + "\" names no "
                                + (what.affectsLinks() ? "link" : "process") + " of this rig; such are "
                                + String.join(
                                        ", ",
                                        targets(file).stream()
                                                .filter(name -> name.contains(TopologyNames.LINK_SEPARATOR)
                                                        == what.affectsLinks())
                                                .limit(4)
                                                .toList())
                                + " ...");
            } else if (what == FaultKind.LEAVE && !servers(file).containsAll(matching)) {
                problems.add(
                        values.place(ScheduledFault.TARGET),
                        "fault.target",
                        "only backend servers can be told to leave");
            }
            if (what.size().isEmpty() == values.find(ScheduledFault.SIZE).isPresent()) {
                problems.add(
                        values.find(ScheduledFault.SIZE).isPresent()
                                ? values.place(ScheduledFault.SIZE)
                                : values.place(),
                        "fault.size",
                        what.size().isEmpty()
                                ? "means nothing for " + what.written()
                                : "is missing; for " + what.written() + " it counts " + what.size());
            }
        }
    }
}
