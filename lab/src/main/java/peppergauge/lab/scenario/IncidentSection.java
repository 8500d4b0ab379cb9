package peppergauge.lab.scenario;

import java.util.Optional;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Values;

/** Section {@code [[at]]}: checks that the keys of an entry fit its incident and that its target exists. */
final class IncidentSection implements Section {

    @Override
    public Table table() {
        return ScheduledIncident.TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        Scenario scenario = Scenario.read(file);
        for (Values values : file.all(ScheduledIncident.TABLE)) {
            Incident what = values.get(ScheduledIncident.WHAT);
            Optional<Target> target = Target.of(values.get(ScheduledIncident.TARGET), scenario);
            if (target.isEmpty()) {
                problems.add(
                        values.place(ScheduledIncident.TARGET),
                        "at.target",
                        '"' + values.get(ScheduledIncident.TARGET)
                                + "\" names nothing of this scenario; " + what.written() + " takes "
                                + what.targets().description());
            } else if (!what.targets().allows(target.get().form())) {
                problems.add(
                        values.place(ScheduledIncident.TARGET),
                        "at.target",
                        "must be " + what.targets().description() + ", since " + what.written()
                                + " happens to nothing else");
            }
            if (values.get(ScheduledIncident.TIME).compareTo(scenario.run().length()) > 0) {
                problems.add(values.place(ScheduledIncident.TIME), "at.time", "is after the end of the run");
            }
            if (what == Incident.DEPLOY && values.find(ScheduledIncident.LENGTH).isEmpty()) {
                problems.add(values.place(), "at.length", "is missing; a deploy must say how long it takes");
            }
            checkFault(values, what, scenario.discovery().source(), problems);
            checkRange(values, ScheduledIncident.SIZE, what, what.size(), problems);
            checkRange(values, ScheduledIncident.PART, what, what.part(), problems);
        }
    }

    private static void checkFault(Values values, Incident what, Discovery.Source source, Problems problems) {
        if (what == Incident.DISCOVERY_FAULT
                && values.find(ScheduledIncident.FAULT).isEmpty()) {
            problems.add(values.place(), "at.fault", "is missing; a discovery-fault must say what is wrong");
        } else if (what != Incident.DISCOVERY_FAULT
                && values.find(ScheduledIncident.FAULT).isPresent()) {
            problems.add(values.place(ScheduledIncident.FAULT), "at.fault", "means nothing for " + what.written());
        } else if (what == Incident.DISCOVERY_FAULT && source == Discovery.Source.PLATFORM) {
            problems.add(
                    values.place(),
                    "at.what",
                    "discovery-fault is one of Nomad's API: [discovery] source must be \"nomad\"");
        }
    }

    private static void checkRange(
            Values values, Key<Double> key, Incident what, Optional<Incident.Range> range, Problems problems) {
        Optional<Double> found = values.find(key);
        if (range.isEmpty() && found.isPresent()) {
            problems.add(values.place(key), "at." + key.name(), "means nothing for " + what.written());
        } else if (range.isPresent() && !found.map(range.get()::contains).orElse(false)) {
            problems.add(
                    values.place(key),
                    "at." + key.name(),
                    "must be from " + range.get().min() + " to " + range.get().max() + " for " + what.written() + ": "
                            + range.get().description());
        }
    }
}
