package peppergauge.operator;

import java.util.List;

/**
 * The schema of one kind of operator file. A file names its kind in the key {@code kind}.
 *
 * @param name the value of the key {@code kind}
 * @param description one or more sentences on the purpose of such a file
 * @param sections the top-level tables, at least one, with distinct names
 */
public record FileKind(String name, String description, List<Section> sections) {

    static final String KIND_KEY = "kind";

    /** @throws IllegalArgumentException if two sections have the same name, or one is named {@code kind} */
    public FileKind {
        sections = List.copyOf(sections);
        rootTable(name, sections);
    }

    /** Returns the schema of the whole file: the key {@code kind} and the tables of the sections. */
    Table rootTable() {
        return rootTable(name, sections);
    }

    private static Table rootTable(String kind, List<Section> sections) {
        return Table.required("", "", Key.required(KIND_KEY, Types.oneOf(kind), '"' + kind + '"', "The kind of file."))
                .with(sections.stream().map(Section::table).toArray(Table[]::new));
    }
}
