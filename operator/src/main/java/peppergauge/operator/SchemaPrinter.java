package peppergauge.operator;

import java.util.Locale;

/** Prints the schemas that {@link OperatorFiles} validates against as documentation for operators. */
public final class SchemaPrinter {

    private static final int MAX_COMMENT_COLUMNS = 110;

    private SchemaPrinter() {}

    /** Returns a valid example file of the kind, with a comment on each key. */
    public static String example(FileKind kind) {
        StringBuilder text = new StringBuilder(comment(kind.description()));
        text.append(kindLine(kind)).append('\n');
        kind.sections().forEach(section -> appendExample(section.table(), "", text));
        return text.toString();
    }

    private static void appendExample(Table table, String path, StringBuilder text) {
        text.append('\n').append(comment(table.description() + " " + occurrence(table)));
        text.append(header(table, path)).append('\n');
        for (Key<?> key : table.keys()) {
            text.append(comment(key.description() + " " + toSentence(key.type().allowed()) + " " + presence(key)));
            text.append(key.presence() == Key.Presence.OPTIONAL ? "#" : "")
                    .append(key.name())
                    .append(" = ")
                    .append(key.literal())
                    .append('\n');
        }
        table.tables().forEach(nested -> appendExample(nested, path + table.name() + ".", text));
    }

    /** Returns a description of the kind as a section of a Markdown page. */
    public static String markdown(FileKind kind) {
        StringBuilder text = new StringBuilder("## `" + kindLine(kind) + "`\n\n" + kind.description() + "\n");
        kind.sections().forEach(section -> appendMarkdown(section.table(), "", text));
        return text.toString();
    }

    private static void appendMarkdown(Table table, String path, StringBuilder text) {
        text.append("\n### `")
                .append(header(table, path))
                .append("`\n\n")
                .append(table.description())
                .append(' ')
                .append(occurrence(table))
                .append("\n\n| key | what may stand there | left out | meaning |\n")
                .append("| --- | --- | --- | --- |\n");
        for (Key<?> key : table.keys()) {
            text.append("| `")
                    .append(key.name())
                    .append("` | ")
                    .append(escapePipes(key.type().allowed()))
                    .append(" | ")
                    .append(
                            switch (key.presence()) {
                                case REQUIRED -> "not allowed";
                                case DEFAULTED -> "`" + escapePipes(key.literal()) + "`";
                                case OPTIONAL -> "allowed";
                            })
                    .append(" | ")
                    .append(escapePipes(key.description()))
                    .append(" |\n");
        }
        table.tables().forEach(nested -> appendMarkdown(nested, path + table.name() + ".", text));
    }

    private static String kindLine(FileKind kind) {
        return FileKind.KIND_KEY + " = \"" + kind.name() + '"';
    }

    private static String header(Table table, String path) {
        return table.repeats() ? "[[" + path + table.name() + "]]" : "[" + path + table.name() + "]";
    }

    private static String occurrence(Table table) {
        return table.repeats()
                ? "From " + table.minOccurrences() + " to " + table.maxOccurrences() + " times."
                : table.minOccurrences() == 0 ? "May be left out." : "Required.";
    }

    private static String presence(Key<?> key) {
        return switch (key.presence()) {
            case REQUIRED -> "Required.";
            case DEFAULTED -> "Left out: " + key.literal() + ".";
            case OPTIONAL -> "May be left out.";
        };
    }

    private static String toSentence(String phrase) {
        return phrase.substring(0, 1).toUpperCase(Locale.ROOT) + phrase.substring(1) + ".";
    }

    private static String escapePipes(String text) {
        return text.replace("|", "\\|");
    }

    private static String comment(String sentences) {
        StringBuilder text = new StringBuilder("#");
        int column = 1;
        for (String word : sentences.trim().split(" +")) {
            if (column + 1 + word.length() > MAX_COMMENT_COLUMNS) {
                text.append("\n#");
                column = 1;
            }
            text.append(' ').append(word);
            column += 1 + word.length();
        }
        return text.append('\n').toString();
    }
}
