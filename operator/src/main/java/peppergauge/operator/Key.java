package peppergauge.operator;

import java.util.Optional;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * A key of a table, declared once as a constant; the constant then looks up the key's value in {@link Values}.
 *
 * <p>Defaults and examples are given as TOML literals and read by the key's own type, so that the type accepts them.
 *
 * @param <T> the Java type of the value
 */
public final class Key<T> {

    /** Whether a file may omit the key. */
    public enum Presence {
        REQUIRED,
        DEFAULTED,
        OPTIONAL
    }

    private final String name;
    private final Type<T> type;
    private final Presence presence;
    private final String literal;
    private final String description;
    private final T literalValue;

    private Key(String name, Type<T> type, Presence presence, String literal, String description) {
        this.name = name;
        this.type = type;
        this.presence = presence;
        this.literal = literal;
        this.description = description;
        this.literalValue = readLiteral();
    }

    /**
     * Declares a key that each file must have.
     *
     * @param example a valid value as a TOML literal
     * @param description one or more sentences on the key's purpose
     * @throws IllegalArgumentException if the type rejects the example
     */
    public static <T> Key<T> required(String name, Type<T> type, String example, String description) {
        return new Key<>(name, type, Presence.REQUIRED, example, description);
    }

    /**
     * Declares a key with a default.
     *
     * @param preset the default as a TOML literal, which also serves as the example
     * @param description one or more sentences on the key's purpose
     * @throws IllegalArgumentException if the type rejects the default
     */
    public static <T> Key<T> preset(String name, Type<T> type, String preset, String description) {
        return new Key<>(name, type, Presence.DEFAULTED, preset, description);
    }

    /**
     * Declares a key without a default that a file may omit.
     *
     * @param example a valid value as a TOML literal
     * @param description one or more sentences on the key's purpose and on what its absence means
     * @throws IllegalArgumentException if the type rejects the example
     */
    public static <T> Key<T> optional(String name, Type<T> type, String example, String description) {
        return new Key<>(name, type, Presence.OPTIONAL, example, description);
    }

    private T readLiteral() {
        TomlParseResult toml = Toml.parse("value = " + literal);
        Problems problems = new Problems();
        Optional<T> value = toml.hasErrors()
                ? Optional.empty()
                : type.read(new RawValue(toml.get("value"), SourceLocation.startOf("example"), name, problems));
        return value.orElseThrow(() -> new IllegalArgumentException(
                "key " + name + ": invalid default or example " + literal + ": " + problems.sorted()));
    }

    public String name() {
        return name;
    }

    public Type<T> type() {
        return type;
    }

    public Presence presence() {
        return presence;
    }

    /** Returns the default or the example as a TOML literal. */
    public String literal() {
        return literal;
    }

    public String description() {
        return description;
    }

    Optional<T> defaultValue() {
        return presence == Presence.DEFAULTED ? Optional.of(literalValue) : Optional.empty();
    }
}
