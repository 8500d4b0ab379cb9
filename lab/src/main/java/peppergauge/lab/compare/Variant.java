package peppergauge.lab.compare;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One side of a comparison.
 *
 * @param specification the command line argument that describes this variant
 * @param jar the lab's jar of the build that is run
 * @param changes changes to the scenarios, as {@code table.key=value}
 */
public record Variant(String specification, Path jar, List<String> changes) {

    /** Specification of the running build. */
    public static final String THIS = "this";

    private static final String JAR = "lab/target/peppergauge-lab.jar";

    /** Copies the list. */
    public Variant {
        changes = List.copyOf(changes);
    }

    /**
     * Parses {@code this}, a checkout's directory or a jar, optionally followed by
     * {@code @table.key=value,table.key=value}.
     *
     * @param home the checkout of the running build
     * @throws IllegalArgumentException if there is no such build, or a change is malformed
     */
    public static Variant parse(String specification, Path home) {
        int at = specification.indexOf('@');
        String build = at < 0 ? specification : specification.substring(0, at);
        Path path = build.isEmpty() || build.equals(THIS) ? home : Path.of(build);
        Path jar = Files.isDirectory(path) ? path.resolve(JAR) : path;
        if (!Files.isRegularFile(jar)) {
            throw new IllegalArgumentException(specification + ": no build found, file " + jar + " does not exist");
        }
        List<String> changes = new ArrayList<>();
        for (String change :
                at < 0 ? new String[0] : specification.substring(at + 1).split(",")) {
            if (!change.matches("[a-z-]+\\.[a-z-]+=.+")) {
                throw new IllegalArgumentException(
                        specification + ": expected a change as table.key=value, but read " + change);
            }
            changes.add(change);
        }
        return new Variant(specification, jar.toAbsolutePath(), changes);
    }

    /**
     * Applies the changes to the text of a scenario, in all tables of an array of tables.
     *
     * @param toml the text as {@code Scenario.toToml} writes it, with one key per line
     * @throws IllegalArgumentException if the scenario has no such table
     */
    String applyChanges(String toml) {
        String text = toml;
        for (String change : changes) {
            int dot = change.indexOf('.');
            int equals = change.indexOf('=');
            text = setValue(
                    text, change.substring(0, dot), change.substring(dot + 1, equals), change.substring(equals + 1));
        }
        return text;
    }

    private static String setValue(String toml, String table, String key, String value) {
        List<String> lines = new ArrayList<>();
        boolean insideTable = false;
        boolean found = false;
        for (String line : toml.split("\n")) {
            boolean isHeader = line.startsWith("[");
            if (isHeader) {
                insideTable = line.equals("[" + table + "]") || line.equals("[[" + table + "]]");
                found |= insideTable;
            }
            if (!insideTable || isHeader || !line.startsWith(key + " = ")) {
                lines.add(line);
            }
            if (insideTable && isHeader) {
                // Durations are quoted in the file, but the shell removes quotes on the command line.
                lines.add(key + " = " + (value.matches("[0-9.]+ ?[a-z]+") ? '"' + value + '"' : value));
            }
        }
        if (!found) {
            throw new IllegalArgumentException("the scenario has no table " + table);
        }
        return String.join("\n", lines) + "\n";
    }
}
