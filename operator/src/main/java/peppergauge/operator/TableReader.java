package peppergauge.operator;

import java.util.ArrayList;
import java.util.List;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** Reads one file's tables by their schema. What the schema does not know is a problem: nothing is passed over. */
final class TableReader {

    private final String file;
    private final Problems problems;
    private final boolean whole;

    /** @param whole false if parts of the file could not be parsed: then what is missing may be among them */
    TableReader(String file, Problems problems, boolean whole) {
        this.file = file;
        this.whole = whole;
        this.problems = problems;
    }

    /** @param path of the table, with a dot after it; empty for the file */
    Values read(Table schema, TomlTable found, Place place, String path) {
        Values values = new Values(place);
        for (String name : found.keySet()) {
            if (schema.key(name).isEmpty() && schema.table(name).isEmpty()) {
                problems.add(place(found, name), path + name, "is unknown; " + Nearest.hint(name, schema.known()));
            }
        }
        schema.keys().forEach(key -> readKey(key, found, values, path));
        schema.tables().forEach(table -> readTable(table, found, values, path));
        return values;
    }

    private <T> void readKey(Key<T> key, TomlTable found, Values values, String path) {
        Object value = found.get(List.of(key.name()));
        if (value != null) {
            Place place = place(found, key.name());
            key.type()
                    .read(new RawValue(value, place, path + key.name(), problems))
                    .ifPresent(read -> values.put(key, read, place));
        } else if (key.need() == Key.Need.REQUIRED) {
            missing(values, path + key.name(), key.type().allowed());
        } else {
            key.valueIfAbsent().ifPresent(preset -> values.put(key, preset, values.place()));
        }
    }

    private void readTable(Table table, TomlTable found, Values values, String path) {
        String name = path + table.name();
        Object value = found.get(List.of(table.name()));
        if (value == null) {
            if (table.least() > 0) {
                missing(values, name, written(table, name));
            }
            return;
        }
        Place place = place(found, table.name());
        List<Values> read = new ArrayList<>();
        if (value instanceof TomlTable one && !table.repeats()) {
            read.add(read(table, one, place, name + "."));
        } else if (value instanceof TomlArray many && table.repeats() && holdsTables(many)) {
            for (int i = 0; i < many.size(); i++) {
                read.add(read(table, many.getTable(i), Places.of(file, many.inputPositionOf(i)), name + "."));
            }
            if (many.size() < table.least() || many.size() > table.most()) {
                problems.add(place, name, "must be " + written(table, name) + ", not " + many.size() + " times");
            }
        } else {
            problems.add(place, name, "must be " + written(table, name));
        }
        values.put(table, read);
    }

    private void missing(Values from, String name, String allowed) {
        if (whole) {
            problems.add(from.place(), name, "is missing; it must be " + allowed);
        }
    }

    private static boolean holdsTables(TomlArray many) {
        return many.toList().stream().allMatch(TomlTable.class::isInstance);
    }

    private static String written(Table table, String name) {
        return table.repeats()
                ? "written [[" + name + "]], " + table.least() + " to " + table.most() + " times"
                : "a table, written [" + name + "]";
    }

    private Place place(TomlTable found, String name) {
        return Places.of(file, found.inputPositionOf(List.of(name)));
    }
}
