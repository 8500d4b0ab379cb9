package peppergauge.operator;

import java.util.Locale;

/** Prints schemas for people: what they read is what the reader does. */
public final class SchemaPrinter {

    private static final int WIDTH = 110;

    private SchemaPrinter() {}

    /** A whole file of the kind, with a comment on each key, that reads without a problem. */
    public static String example(FileKind kind) {
        StringBuilder text = new StringBuilder(comment(kind.about()));
        text.append("kind = \"").append(kind.name()).append("\"\n");
        kind.sections().forEach(section -> example(section.table(), "", text));
        return text.toString();
    }

    private static void example(Table table, String path, StringBuilder text) {
        text.append('\n').append(comment(table.about() + " " + occurrence(table)));
        text.append(header(table, path)).append('\n');
        for (Key<?> key : table.keys()) {
            text.append(comment(key.about() + " " + sentence(key.type().allowed()) + " " + absence(key)));
            text.append(key.need() == Key.Need.OPTIONAL ? "#" : "")
                    .append(key.name())
                    .append(" = ")
                    .append(key.literal())
                    .append('\n');
        }
        table.tables().forEach(inside -> example(inside, path + table.name() + ".", text));
    }

    /** The kind's part of a page in Markdown. */
    public static String markdown(FileKind kind) {
        StringBuilder text = new StringBuilder("## `kind = \"" + kind.name() + "\"`\n\n" + kind.about() + "\n");
        kind.sections().forEach(section -> markdown(section.table(), "", text));
        return text.toString();
    }

    private static void markdown(Table table, String path, StringBuilder text) {
        text.append("\n### `")
                .append(header(table, path))
                .append("`\n\n")
                .append(table.about())
                .append(' ')
                .append(occurrence(table))
                .append("\n\n| key | what may stand there | left out | meaning |\n")
                .append("| --- | --- | --- | --- |\n");
        for (Key<?> key : table.keys()) {
            text.append("| `")
                    .append(key.name())
                    .append("` | ")
                    .append(cell(key.type().allowed()))
                    .append(" | ")
                    .append(
                            switch (key.need()) {
                                case REQUIRED -> "not allowed";
                                case PRESET -> "`" + cell(key.literal()) + "`";
                                case OPTIONAL -> "allowed";
                            })
                    .append(" | ")
                    .append(cell(key.about()))
                    .append(" |\n");
        }
        table.tables().forEach(inside -> markdown(inside, path + table.name() + ".", text));
    }

    private static String header(Table table, String path) {
        return table.repeats() ? "[[" + path + table.name() + "]]" : "[" + path + table.name() + "]";
    }

    private static String occurrence(Table table) {
        return table.repeats()
                ? "From " + table.least() + " to " + table.most() + " times."
                : table.least() == 0 ? "May be left out." : "Required.";
    }

    private static String absence(Key<?> key) {
        return switch (key.need()) {
            case REQUIRED -> "Required.";
            case PRESET -> "Left out: " + key.literal() + ".";
            case OPTIONAL -> "May be left out.";
        };
    }

    private static String sentence(String words) {
        return words.substring(0, 1).toUpperCase(Locale.ROOT) + words.substring(1) + ".";
    }

    private static String cell(String words) {
        return words.replace("|", "\\|");
    }

    private static String comment(String words) {
        StringBuilder text = new StringBuilder("#");
        int column = 1;
        for (String word : words.trim().split(" +")) {
            if (column + 1 + word.length() > WIDTH) {
                text.append("\n#");
                column = 1;
            }
            text.append(' ').append(word);
            column += 1 + word.length();
        }
        return text.append('\n').toString();
    }
}
