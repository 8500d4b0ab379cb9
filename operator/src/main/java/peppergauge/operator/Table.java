package peppergauge.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A table of a file: its keys, and the tables inside it; declared once as a constant, as its keys are. */
public final class Table {

    private final String name;
    private final boolean repeats;
    private final int least;
    private final int most;
    private final String about;
    private final Map<String, Key<?>> keys = new LinkedHashMap<>();
    private final Map<String, Table> tables = new LinkedHashMap<>();

    private Table(String name, boolean repeats, int least, int most, String about, List<?> parts) {
        this.name = name;
        this.repeats = repeats;
        this.least = least;
        this.most = most;
        this.about = about;
        parts.forEach(this::add);
    }

    private void add(Object part) {
        String added = part instanceof Key<?> key ? key.name() : ((Table) part).name();
        if (keys.containsKey(added) || tables.containsKey(added)) {
            throw new IllegalArgumentException("two parts of table " + name + " are named " + added);
        }
        if (part instanceof Key<?> key) {
            keys.put(added, key);
        } else {
            tables.put(added, (Table) part);
        }
    }

    /** {@code [name]}, which a file must have. */
    public static Table required(String name, String about, Key<?>... keys) {
        return new Table(name, false, 1, 1, about, List.of(keys));
    }

    /** {@code [name]}, which a file may have. */
    public static Table optional(String name, String about, Key<?>... keys) {
        return new Table(name, false, 0, 1, about, List.of(keys));
    }

    /** {@code [[name]]}, from {@code least} to {@code most} times. */
    public static Table repeated(String name, int least, int most, String about, Key<?>... keys) {
        return new Table(name, true, least, most, about, List.of(keys));
    }

    /**
     * This table with others inside.
     *
     * @throws IllegalArgumentException if one has the name of another or of a key
     */
    public Table with(Table... inside) {
        List<Object> parts = new ArrayList<>(keys.values());
        parts.addAll(tables.values());
        parts.addAll(List.of(inside));
        return new Table(name, repeats, least, most, about, parts);
    }

    public String name() {
        return name;
    }

    /** Whether it is written {@code [[name]]}. */
    public boolean repeats() {
        return repeats;
    }

    public int least() {
        return least;
    }

    public int most() {
        return most;
    }

    public String about() {
        return about;
    }

    public List<Key<?>> keys() {
        return List.copyOf(keys.values());
    }

    public List<Table> tables() {
        return List.copyOf(tables.values());
    }

    Optional<Key<?>> key(String sought) {
        return Optional.ofNullable(keys.get(sought));
    }

    Optional<Table> table(String sought) {
        return Optional.ofNullable(tables.get(sought));
    }

    List<String> known() {
        List<String> names = new ArrayList<>(keys.keySet());
        names.addAll(tables.keySet());
        return names;
    }
}
