package peppergauge.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What one table of a file says, typed; got by the constants that declare its schema. */
public final class Values {

    private final Place place;
    private final Map<Key<?>, Object> values = new LinkedHashMap<>();
    private final Map<Key<?>, Place> places = new LinkedHashMap<>();
    private final Map<Table, List<Values>> tables = new LinkedHashMap<>();

    Values(Place place) {
        this.place = place;
    }

    <T> void put(Key<T> key, T value, Place at) {
        values.put(key, value);
        places.put(key, at);
    }

    void put(Table table, List<Values> found) {
        tables.put(table, List.copyOf(found));
    }

    /**
     * The value of a key that is required or has a default.
     *
     * @throws IllegalStateException if the key is optional and absent, or no key of this table
     */
    public <T> T get(Key<T> key) {
        return find(key).orElseThrow(() -> new IllegalStateException("no value of " + key.name()));
    }

    @SuppressWarnings("unchecked") // put() lets in only what the key's own type has read
    public <T> Optional<T> find(Key<T> key) {
        return Optional.ofNullable((T) values.get(key));
    }

    /**
     * A required table.
     *
     * @throws IllegalStateException if the table is optional and absent, or none of this table
     */
    public Values get(Table table) {
        return find(table).orElseThrow(() -> new IllegalStateException("no table " + table.name()));
    }

    public Optional<Values> find(Table table) {
        return all(table).stream().findFirst();
    }

    /** A repeated table, in the order of the file. */
    public List<Values> all(Table table) {
        return tables.getOrDefault(table, List.of());
    }

    /** Where the table begins. */
    public Place place() {
        return place;
    }

    /** Where the key stands; where the table begins if it was left out. */
    public Place place(Key<?> key) {
        return places.getOrDefault(key, place);
    }

    /** All values, defaults included, without places: two files that mean the same read the same here. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("{");
        values.forEach((key, value) ->
                text.append(key.name()).append('=').append(value).append(' '));
        tables.forEach((table, found) -> text.append(table.name()).append(found).append(' '));
        return text.append('}').toString();
    }
}
