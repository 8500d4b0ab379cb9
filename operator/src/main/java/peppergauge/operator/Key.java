package peppergauge.operator;

import java.util.Optional;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * One key of a table; declared once as a constant, which then gets its value out of {@link Values}.
 *
 * <p>Defaults and examples are given as they would be written in the file and read by the key's own type, so that
 * neither can be something that the type would refuse.
 *
 * @param <T> what its value is read to
 */
public final class Key<T> {

    /** What a file without the key means. */
    public enum Need {
        REQUIRED,
        PRESET,
        OPTIONAL
    }

    private final String name;
    private final Type<T> type;
    private final Need need;
    private final String literal;
    private final String about;
    private final T sample;

    private Key(String name, Type<T> type, Need need, String literal, String about) {
        this.name = name;
        this.type = type;
        this.need = need;
        this.literal = literal;
        this.about = about;
        this.sample = sample();
    }

    /**
     * A file without the key is refused.
     *
     * @param example a value as it would be written in the file
     * @param about one or more sentences on what it is for
     * @throws IllegalArgumentException if the type refuses the example
     */
    public static <T> Key<T> required(String name, Type<T> type, String example, String about) {
        return new Key<>(name, type, Need.REQUIRED, example, about);
    }

    /** As {@link #required}, but a file without the key means {@code preset}, which is also the example. */
    public static <T> Key<T> preset(String name, Type<T> type, String preset, String about) {
        return new Key<>(name, type, Need.PRESET, preset, about);
    }

    /** As {@link #required}, but a file may do without, and {@code about} says what that means. */
    public static <T> Key<T> optional(String name, Type<T> type, String example, String about) {
        return new Key<>(name, type, Need.OPTIONAL, example, about);
    }

    private T sample() {
        TomlParseResult line = Toml.parse("value = " + literal);
        Problems problems = new Problems();
        Optional<T> value = line.hasErrors()
                ? Optional.empty()
                : type.read(new RawValue(line.get("value"), new Place("example", 1, 1), name, problems));
        return value.orElseThrow(() -> new IllegalArgumentException("example " + literal + ": " + problems.sorted()));
    }

    public String name() {
        return name;
    }

    public Type<T> type() {
        return type;
    }

    public Need need() {
        return need;
    }

    /** The default or example, as written in a file. */
    public String literal() {
        return literal;
    }

    public String about() {
        return about;
    }

    Optional<T> valueIfAbsent() {
        return need == Need.PRESET ? Optional.of(sample) : Optional.empty();
    }
}
