package peppergauge.operator;

import java.util.Optional;

/**
 * What may stand behind a key, and what it is read to. The usual ones are in {@link Types}.
 *
 * @param <T> immutable
 */
public interface Type<T> {

    /** The value; empty after {@link RawValue#reject} was told why not. */
    Optional<T> read(RawValue found);

    /** What is allowed, with range and unit, to be put after "must be": {@code a whole number from 1 to 9}. */
    String allowed();
}
