package peppergauge.lab.scenario;

import java.util.HashSet;
import java.util.Set;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Values;

/** A repeated table whose names must be unique, since incidents refer to them as targets. */
record UniqueNamesSection(Table table) implements Section {

    /** Names that are targets of their own, or the prefix of one. */
    private static final Set<Object> RESERVED = Set.of("all", "sidecars", "sidecar");

    @Override
    public void check(Values file, Problems problems) {
        Key<?> name = table.keys().stream()
                .filter(key -> key.name().equals("name"))
                .findFirst()
                .orElseThrow();
        Set<Object> taken = new HashSet<>();
        for (Values values : file.all(table)) {
            Object found = values.get(name);
            if (!taken.add(found)) {
                problems.add(values.place(name), table.name() + ".name", "is taken: another one is named " + found);
            } else if (RESERVED.contains(found)) {
                problems.add(
                        values.place(name),
                        table.name() + ".name",
                        "cannot be " + found + ", which means something else as a target");
            }
        }
    }
}
