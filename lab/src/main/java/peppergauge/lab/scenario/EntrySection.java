package peppergauge.lab.scenario;

import java.util.Optional;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Values;

/** Section {@code [[at]]}: checks that the keys of an entry fit its incident and that its target exists. */
final class EntrySection implements Section {

    @Override
    public Table table() {
        return Entry.TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        Scenario scenario = Scenario.read(file);
        for (Values values : file.all(Entry.TABLE)) {
            Incident what = values.get(Entry.WHAT);
            Optional<Target> target = Target.of(values.get(Entry.TARGET), scenario);
            if (target.isEmpty()) {
                problems.add(
                        values.place(Entry.TARGET),
                        "at.target",
                        '"' + values.get(Entry.TARGET)
                                + "\" names nothing of this scenario; " + what.written() + " takes "
                                + what.targets().description());
            } else if (!what.targets().allows(target.get().form())) {
                problems.add(
                        values.place(Entry.TARGET),
                        "at.target",
                        "must be " + what.targets().description() + ", since " + what.written()
                                + " happens to nothing else");
            }
            if (values.get(Entry.TIME).compareTo(scenario.run().length()) > 0) {
                problems.add(values.place(Entry.TIME), "at.time", "is after the end of the run");
            }
            if (what == Incident.DEPLOY && values.find(Entry.LENGTH).isEmpty()) {
                problems.add(values.place(), "at.length", "is missing; a deploy must say how long it takes");
            }
            checkFault(values, what, scenario.discovery().source(), problems);
            checkRange(values, Entry.SIZE, what, what.size(), problems);
            checkRange(values, Entry.PART, what, what.part(), problems);
        }
    }

    private static void checkFault(Values values, Incident what, Discovery.Source source, Problems problems) {
        if (what == Incident.DISCOVERY_FAULT && values.find(Entry.FAULT).isEmpty()) {
            problems.add(values.place(), "at.fault", "is missing; a discovery-fault must say what is wrong");
        } else if (what != Incident.DISCOVERY_FAULT && values.find(Entry.FAULT).isPresent()) {
            problems.add(values.place(Entry.FAULT), "at.fault", "means nothing for " + what.written());
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
                    "must be from " + range.get().min() + " to " + range.get().max() + " for " + what.written()
                            + ": " + range.get().description());
        }
    }
}
