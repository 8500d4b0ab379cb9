package peppergauge.operator;

import java.util.ArrayList;
import java.util.List;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** Reads the parsed tables of one file by their schemas. A key or table that the schema lacks is an error. */
final class TableReader {

    private final String file;
    private final Problems problems;
    private final boolean syntaxValid;

    /**
     * @param problems receives the errors found
     * @param syntaxValid false if the file has syntax errors: missing keys are then not reported, since they may be in
     *     the text that could not be parsed
     */
    TableReader(String file, Problems problems, boolean syntaxValid) {
        this.file = file;
        this.problems = problems;
        this.syntaxValid = syntaxValid;
    }

    /**
     * Reads a table with its nested tables.
     *
     * @param path the dotted path of the table with a trailing dot; empty for the whole file
     * @return the valid values; incomplete if errors were found
     */
    Values read(Table schema, TomlTable toml, SourceLocation location, String path) {
        Values values = new Values(location);
        for (String name : toml.keySet()) {
            if (!schema.declares(name)) {
                String hint = NameSuggestion.hint(name, schema.childNames());
                problems.add(location(toml, name), path + name, "is unknown; " + hint);
            }
        }
        schema.keys().forEach(key -> readKey(key, toml, values, path));
        schema.tables().forEach(table -> readTable(table, toml, values, path));
        return values;
    }

    private <T> void readKey(Key<T> key, TomlTable toml, Values values, String path) {
        String keyPath = path + key.name();
        Object value = toml.get(List.of(key.name()));
        if (value != null) {
            SourceLocation location = location(toml, key.name());
            key.type()
                    .read(new RawValue(value, location, keyPath, problems))
                    .ifPresent(converted -> values.put(key, converted, location));
        } else if (key.presence() == Key.Presence.REQUIRED) {
            addMissing(values, keyPath, key.type().allowed());
        } else {
            key.defaultValue().ifPresent(defaultValue -> values.put(key, defaultValue, values.place()));
        }
    }

    private void readTable(Table table, TomlTable toml, Values values, String path) {
        String tablePath = path + table.name();
        Object value = toml.get(List.of(table.name()));
        if (value == null) {
            if (table.minOccurrences() > 0) {
                addMissing(values, tablePath, expectedSyntax(table, tablePath));
            }
            return;
        }
        SourceLocation location = location(toml, table.name());
        List<Values> occurrences = new ArrayList<>();
        if (value instanceof TomlTable single && !table.repeats()) {
            occurrences.add(read(table, single, location, tablePath + "."));
        } else if (value instanceof TomlArray array && table.repeats() && holdsOnlyTables(array)) {
            for (int i = 0; i < array.size(); i++) {
                SourceLocation itemLocation = SourceLocation.of(file, array.inputPositionOf(i));
                occurrences.add(read(table, array.getTable(i), itemLocation, tablePath + "."));
            }
            if (array.size() < table.minOccurrences() || array.size() > table.maxOccurrences()) {
                String expected = expectedSyntax(table, tablePath);
                problems.add(location, tablePath, "must be " + expected + ", not " + array.size() + " times");
            }
        } else {
            problems.add(location, tablePath, "must be " + expectedSyntax(table, tablePath));
        }
        values.put(table, occurrences);
    }

    private void addMissing(Values parent, String path, String allowed) {
        if (syntaxValid) {
            problems.addMissing(parent.place(), path, allowed);
        }
    }

    private static boolean holdsOnlyTables(TomlArray array) {
        return array.toList().stream().allMatch(TomlTable.class::isInstance);
    }

    private static String expectedSyntax(Table table, String path) {
        return table.repeats()
                ? "written [[" + path + "]], " + table.minOccurrences() + " to " + table.maxOccurrences() + " times"
                : "a table, written [" + path + "]";
    }

    private SourceLocation location(TomlTable toml, String name) {
        return SourceLocation.of(file, toml.inputPositionOf(List.of(name)));
    }
}
