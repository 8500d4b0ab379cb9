package peppergauge.operator;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** A value as it stands in the file, before a {@link Type} has judged it. */
public final class RawValue {

    private static final int SHOWN = 60;

    private final Object value;
    private final Place place;
    private final String key;
    private final Problems problems;

    RawValue(Object value, Place place, String key, Problems problems) {
        this.value = value;
        this.place = place;
        this.key = key;
        this.problems = problems;
    }

    /** TOML's: Long, Double, Boolean, String, a time of java.time, or something of the library's. */
    public Object value() {
        return value;
    }

    /** The items of a list, each with its own place; empty if this is no list. */
    Optional<List<RawValue>> items() {
        return value instanceof TomlArray list
                ? Optional.of(IntStream.range(0, list.size())
                        .mapToObj(i -> new RawValue(
                                list.get(i), Places.of(place.file(), list.inputPositionOf(i)), key, problems))
                        .toList())
                : Optional.empty();
    }

    /** Notes that this is not what is allowed. */
    public void reject(String allowed) {
        reject(allowed, "");
    }

    /** @param hint put after it; may be empty */
    void reject(String allowed, String hint) {
        problems.add(place, key, "must be " + allowed + ", not " + shown() + hint);
    }

    private String shown() {
        if (value instanceof TomlTable) {
            return "a table";
        }
        if (value instanceof TomlArray list) {
            return list.isEmpty() ? "an empty list" : "a list of " + list.size();
        }
        if (value instanceof String text) {
            String cut = text.length() > SHOWN ? text.substring(0, SHOWN) + "..." : text;
            return '"' + Toml.tomlEscape(cut).toString() + '"';
        }
        return String.valueOf(value);
    }
}
