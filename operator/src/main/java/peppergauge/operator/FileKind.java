package peppergauge.operator;

import java.util.List;

/**
 * A kind of file, named by {@code kind} in its first line.
 *
 * @param name as written there
 * @param about one or more sentences on what such a file is for
 * @param sections at least one, each with a name of its own
 */
public record FileKind(String name, String about, List<Section> sections) {

    /** @throws IllegalArgumentException if two sections have one name, or one is named kind */
    public FileKind {
        sections = List.copyOf(sections);
        tableOf(name, sections);
    }

    /** The file as a whole, as a table of its sections. */
    Table table() {
        return tableOf(name, sections);
    }

    private static Table tableOf(String kind, List<Section> sections) {
        return Table.required("", "", Key.required("kind", Types.oneOf(kind), '"' + kind + '"', "The kind of file."))
                .with(sections.stream().map(Section::table).toArray(Table[]::new));
    }
}
