package peppergauge.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The schema of a TOML table, its keys and nested tables; declared once as a constant, as its keys are. Immutable. */
public final class Table {

    private final String name;
    private final boolean repeats;
    private final int minOccurrences;
    private final int maxOccurrences;
    private final String description;
    private final Map<String, Key<?>> keys = new LinkedHashMap<>();
    private final Map<String, Table> tables = new LinkedHashMap<>();

    private Table(
            String name,
            boolean repeats,
            int minOccurrences,
            int maxOccurrences,
            String description,
            List<?> keysAndTables) {
        this.name = name;
        this.repeats = repeats;
        this.minOccurrences = minOccurrences;
        this.maxOccurrences = maxOccurrences;
        this.description = description;
        keysAndTables.forEach(this::add);
    }

    private void add(Object keyOrTable) {
        String childName = keyOrTable instanceof Key<?> key ? key.name() : ((Table) keyOrTable).name();
        if (keys.containsKey(childName) || tables.containsKey(childName)) {
            throw new IllegalArgumentException("table " + name + " declares " + childName + " twice");
        }
        if (keyOrTable instanceof Key<?> key) {
            keys.put(childName, key);
        } else {
            tables.put(childName, (Table) keyOrTable);
        }
    }

    /** Declares a table {@code [name]} that each file must have. */
    public static Table required(String name, String description, Key<?>... keys) {
        return new Table(name, false, 1, 1, description, List.of(keys));
    }

    /** Declares a table {@code [name]} that a file may omit. */
    public static Table optional(String name, String description, Key<?>... keys) {
        return new Table(name, false, 0, 1, description, List.of(keys));
    }

    /** Declares an array of tables {@code [[name]]} with bounds, both inclusive, on its length. */
    public static Table repeated(
            String name, int minOccurrences, int maxOccurrences, String description, Key<?>... keys) {
        return new Table(name, true, minOccurrences, maxOccurrences, description, List.of(keys));
    }

    /**
     * Returns a copy of this table with additional nested tables.
     *
     * @throws IllegalArgumentException if a nested table has the name of another one or of a key
     */
    public Table with(Table... nested) {
        List<Object> keysAndTables = new ArrayList<>(keys.values());
        keysAndTables.addAll(tables.values());
        keysAndTables.addAll(List.of(nested));
        return new Table(name, repeats, minOccurrences, maxOccurrences, description, keysAndTables);
    }

    public String name() {
        return name;
    }

    /** Returns whether the table is an array of tables, {@code [[name]]}. */
    public boolean repeats() {
        return repeats;
    }

    public int minOccurrences() {
        return minOccurrences;
    }

    public int maxOccurrences() {
        return maxOccurrences;
    }

    public String description() {
        return description;
    }

    /** Returns the keys in the order of their declaration. */
    public List<Key<?>> keys() {
        return List.copyOf(keys.values());
    }

    /** Returns the nested tables in the order of their declaration. */
    public List<Table> tables() {
        return List.copyOf(tables.values());
    }

    boolean declares(String childName) {
        return keys.containsKey(childName) || tables.containsKey(childName);
    }

    /** Returns the names of all keys and nested tables. */
    List<String> childNames() {
        List<String> names = new ArrayList<>(keys.keySet());
        names.addAll(tables.keySet());
        return names;
    }
}
