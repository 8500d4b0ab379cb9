package peppergauge.operator;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** A TOML value with its key and location, before a {@link Type} has validated it. */
public final class RawValue {

    private static final int MAX_QUOTED_CHARS = 60;

    private final Object value;
    private final SourceLocation location;
    private final String key;
    private final Problems problems;

    /** @param problems receives the error if the value is rejected */
    RawValue(Object value, SourceLocation location, String key, Problems problems) {
        this.value = value;
        this.location = location;
        this.key = key;
        this.problems = problems;
    }

    /** Returns a Long, Double, Boolean, String, java.time value, or a table or array of the TOML library. */
    public Object value() {
        return value;
    }

    /** Returns the items of an array, each with its own location; empty if the value is not an array. */
    Optional<List<RawValue>> items() {
        return value instanceof TomlArray array
                ? Optional.of(IntStream.range(0, array.size())
                        .mapToObj(i -> item(array, i))
                        .toList())
                : Optional.empty();
    }

    private RawValue item(TomlArray array, int index) {
        SourceLocation itemLocation = SourceLocation.of(location.file(), array.inputPositionOf(index));
        return new RawValue(array.get(index), itemLocation, key, problems);
    }

    /**
     * Reports that the value is not allowed.
     *
     * @param allowed what is allowed, as for {@link Type#allowed}
     */
    public void reject(String allowed) {
        reject(allowed, "");
    }

    /** @param suffix appended to the message; may be empty */
    void reject(String allowed, String suffix) {
        problems.add(location, key, "must be " + allowed + ", not " + describe() + suffix);
    }

    private String describe() {
        if (value instanceof TomlTable) {
            return "a table";
        }
        if (value instanceof TomlArray array) {
            return array.isEmpty() ? "an empty list" : "a list of " + array.size();
        }
        if (value instanceof String text) {
            String shortened = text.length() > MAX_QUOTED_CHARS ? text.substring(0, MAX_QUOTED_CHARS) + "..." : text;
            return '"' + Toml.tomlEscape(shortened).toString() + '"';
        }
        return String.valueOf(value);
    }
}
