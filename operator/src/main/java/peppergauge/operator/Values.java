package peppergauge.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The typed values of one table of a file, looked up by the {@link Key} and {@link Table} constants that declare its
 * schema.
 */
public final class Values {

    private final SourceLocation location;
    private final Map<Key<?>, Object> values = new LinkedHashMap<>();
    private final Map<Key<?>, SourceLocation> keyLocations = new LinkedHashMap<>();
    private final Map<Table, List<Values>> tables = new LinkedHashMap<>();

    Values(SourceLocation location) {
        this.location = location;
    }

    <T> void put(Key<T> key, T value, SourceLocation keyLocation) {
        values.put(key, value);
        keyLocations.put(key, keyLocation);
    }

    void put(Table table, List<Values> occurrences) {
        tables.put(table, List.copyOf(occurrences));
    }

    /**
     * Returns the value of a key that is required or has a default.
     *
     * @throws IllegalStateException if the key is optional and absent, or not declared in this table
     */
    public <T> T get(Key<T> key) {
        return find(key)
                .orElseThrow(() -> new IllegalStateException("key " + key.name()
                        + " has no value: it is optional and absent, or not declared in this table"));
    }

    /** Returns the value of a key; empty if the key is optional and absent. */
    @SuppressWarnings("unchecked") // put() accepts only values of the key's type
    public <T> Optional<T> find(Key<T> key) {
        return Optional.ofNullable((T) values.get(key));
    }

    /**
     * Returns the values of a required nested table.
     *
     * @throws IllegalStateException if the table is optional and absent, or not declared in this table
     */
    public Values get(Table table) {
        return find(table)
                .orElseThrow(() -> new IllegalStateException("table " + table.name()
                        + " has no values: it is optional and absent, or not declared in this table"));
    }

    /** Returns the values of the first occurrence of a nested table; empty if it is absent. */
    public Optional<Values> find(Table table) {
        return all(table).stream().findFirst();
    }

    /** Returns the values of each occurrence of a repeated nested table, in the order of the file. */
    public List<Values> all(Table table) {
        return tables.getOrDefault(table, List.of());
    }

    /** Returns the location at which the table begins. */
    public SourceLocation place() {
        return location;
    }

    /** Returns the location of the key, or that of the table if the file does not have the key. */
    public SourceLocation place(Key<?> key) {
        return keyLocations.getOrDefault(key, location);
    }

    /** Lists all values, including defaults, without locations, so that equivalent files give equal texts. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("{");
        values.forEach((key, value) ->
                text.append(key.name()).append('=').append(value).append(' '));
        tables.forEach((table, occurrences) ->
                text.append(table.name()).append(occurrences).append(' '));
        return text.append('}').toString();
    }
}
