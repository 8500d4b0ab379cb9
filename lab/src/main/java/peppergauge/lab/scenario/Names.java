package peppergauge.lab.scenario;

import java.util.HashSet;
import java.util.Set;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Values;

/** A repeated table whose {@code name} must be its own, since entries refer to it. */
record Names(Table table) implements Section {

    @Override
    public void check(Values file, Problems problems) {
        Key<?> name = table.keys().stream()
                .filter(key -> key.name().equals("name"))
                .findFirst()
                .orElseThrow();
        Set<Object> seen = new HashSet<>();
        for (Values values : file.all(table)) {
            Object found = values.get(name);
            if (!seen.add(found)) {
                problems.add(values.place(name), table.name() + ".name", "is taken: another one is named " + found);
            } else if (found.equals("all") || found.equals("sidecars") || found.equals("sidecar")) {
                problems.add(
                        values.place(name),
                        table.name() + ".name",
                        "cannot be " + found + ", which means something else as a target");
            }
        }
    }
}
