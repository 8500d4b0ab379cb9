package peppergauge.operator;

import java.util.Optional;

/**
 * The type of a key's value: validates a TOML value and converts it. {@link Types} has the common ones.
 *
 * @param <T> the Java type of the converted value; immutable
 */
public interface Type<T> {

    /**
     * Validates and converts a value.
     *
     * @return empty if the value is not allowed; {@link RawValue#reject} has then been called
     */
    Optional<T> read(RawValue raw);

    /**
     * Describes the allowed values, with range and unit, so that the text completes "must be":
     * {@code a whole number from 1 to 9}.
     */
    String allowed();
}
