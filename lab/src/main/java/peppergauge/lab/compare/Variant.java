package peppergauge.lab.compare;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One side of a comparison.
 *
 * @param words as it was asked for
 * @param jar the lab's, of the build that is run
 * @param changes to the scenarios, as {@code table.key=value}
 */
public record Variant(String words, Path jar, List<String> changes) {

    /** This build, unchanged or with changes behind an {@code @}. */
    public static final String THIS = "this";

    private static final String JAR = "lab/target/peppergauge-lab.jar";

    /** Changes as a list that nobody changes. */
    public Variant {
        changes = List.copyOf(changes);
    }

    /**
     * {@code this}, a checkout's folder or a jar, and perhaps {@code @table.key=value,table.key=value}.
     *
     * @param home this build's checkout
     * @throws IllegalArgumentException if it names no build, or a change is none
     */
    public static Variant parse(String words, Path home) {
        int at = words.indexOf('@');
        String build = at < 0 ? words : words.substring(0, at);
        Path path = build.isEmpty() || build.equals(THIS) ? home : Path.of(build);
        Path jar = Files.isDirectory(path) ? path.resolve(JAR) : path;
        if (!Files.isRegularFile(jar)) {
            throw new IllegalArgumentException(words + " names no build: there is no file " + jar);
        }
        List<String> changes = new ArrayList<>();
        for (String change : at < 0 ? new String[0] : words.substring(at + 1).split(",")) {
            if (!change.matches("[a-z-]+\\.[a-z-]+=.+")) {
                throw new IllegalArgumentException(words + ": " + change + " is not table.key=value");
            }
            changes.add(change);
        }
        return new Variant(words, jar.toAbsolutePath(), changes);
    }

    /**
     * A scenario's text with the changes; a table that repeats is changed everywhere.
     *
     * @param toml as {@code Scenario.toToml} writes it: one key a line
     * @throws IllegalArgumentException if the scenario has no such table
     */
    String changed(String toml) {
        String text = toml;
        for (String change : changes) {
            int dot = change.indexOf('.');
            int equals = change.indexOf('=');
            text = changed(
                    text, change.substring(0, dot), change.substring(dot + 1, equals), change.substring(equals + 1));
        }
        return text;
    }

    private static String changed(String toml, String table, String key, String value) {
        List<String> lines = new ArrayList<>();
        boolean inside = false;
        boolean found = false;
        for (String line : toml.split("\n")) {
            boolean head = line.startsWith("[");
            if (head) {
                inside = line.equals("[" + table + "]") || line.equals("[[" + table + "]]");
                found |= inside;
            }
            if (!inside || head || !line.startsWith(key + " = ")) {
                lines.add(line);
            }
            if (inside && head) {
                // Durations are texts in the file; on a command line their quotes are easily lost.
                lines.add(key + " = " + (value.matches("[0-9.]+ ?[a-z]+") ? '"' + value + '"' : value));
            }
        }
        if (!found) {
            throw new IllegalArgumentException("the scenario has no table " + table);
        }
        return String.join("\n", lines) + "\n";
    }
}
