package peppergauge.operator;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

/** The common types of values. All bounds are inclusive; a value out of range is rejected, not clamped. */
public final class Types {

    private Types() {}

    /** An integer. */
    public static Type<Long> wholeNumber(long min, long max) {
        return new ScalarType<>(
                "a whole number from " + min + " to " + max,
                value -> value instanceof Long number && number >= min && number <= max
                        ? Optional.of(number)
                        : Optional.empty());
    }

    /** Accepts integers and floats; rejects {@code nan} and, by the bounds, {@code inf}. */
    public static Type<Double> number(double min, double max) {
        return new ScalarType<>("a number from " + decimal(min) + " to " + decimal(max), value -> {
            double number =
                    value instanceof Long || value instanceof Double ? ((Number) value).doubleValue() : Double.NaN;
            return number >= min && number <= max ? Optional.of(number) : Optional.empty();
        });
    }

    /** A boolean. */
    public static Type<Boolean> flag() {
        return new ScalarType<>(
                "true or false", value -> value instanceof Boolean flag ? Optional.of(flag) : Optional.empty());
    }

    /** A string of {@code min} to {@code max} characters without control characters. */
    public static Type<String> text(int min, int max) {
        return new ScalarType<>(
                "a text of " + min + " to " + max + " characters on one line",
                value -> value instanceof String text
                                && text.length() >= min
                                && text.length() <= max
                                && text.chars().noneMatch(Character::isISOControl)
                        ? Optional.of(text)
                        : Optional.empty());
    }

    /**
     * A string that matches a pattern.
     *
     * @param allowed a description of the pattern, as for {@link Type#allowed}
     */
    public static Type<String> text(Pattern pattern, String allowed) {
        return new ScalarType<>(
                allowed,
                value -> value instanceof String text && pattern.matcher(text).matches()
                        ? Optional.of(text)
                        : Optional.empty());
    }

    /** A name by which other tables or files can refer to a table. */
    public static Type<String> name() {
        return text(Pattern.compile("[a-z][a-z0-9-]{0,39}"), "a name of a-z, 0-9 and -, at most 40 characters");
    }

    /** One of the given strings. */
    public static Type<String> oneOf(String... names) {
        return new ChoiceType<>(List.of(names), name -> name);
    }

    /** An enum constant, written by its name in lower case, with {@code -} for {@code _}. */
    public static <E extends Enum<E>> Type<E> oneOf(Class<E> choices) {
        List<E> constants = Arrays.asList(choices.getEnumConstants());
        List<String> names = constants.stream()
                .map(constant -> constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
        return new ChoiceType<>(names, name -> constants.get(names.indexOf(name)));
    }

    /** A string with a number and a unit, {@code "250 ms"}: us, ms, s, min or h; whole nanoseconds only. */
    public static Type<Duration> duration(Duration min, Duration max) {
        return quantity("a duration", UnitFormat.DURATION, min.toNanos(), max.toNanos(), Duration::ofNanos);
    }

    /** A {@link #duration} with its bounds in milliseconds. */
    public static Type<Duration> ms(long min, long max) {
        return duration(Duration.ofMillis(min), Duration.ofMillis(max));
    }

    /** A string with a number of bytes and a unit, {@code "64 KiB"}: B, KiB, MiB or GiB; whole bytes only. */
    public static Type<Long> size(long min, long max) {
        return quantity("a size", UnitFormat.SIZE, min, max, bytes -> bytes);
    }

    private static <T> Type<T> quantity(String what, UnitFormat format, long min, long max, Function<Long, T> convert) {
        String allowed = what + " from \"" + format.format(min) + "\" to \"" + format.format(max) + "\" in "
                + String.join(", ", format.units().keySet());
        return new ScalarType<>(
                allowed,
                value -> value instanceof String text
                        ? format.parse(text)
                                .filter(number -> number >= min && number <= max)
                                .map(convert)
                        : Optional.empty());
    }

    /** An array of {@code min} to {@code max} items of one type. */
    public static <T> Type<List<T>> listOf(Type<T> itemType, int min, int max) {
        return new ListType<>(itemType, min, max);
    }

    private static String decimal(double number) {
        return new BigDecimal(Double.toString(number)).stripTrailingZeros().toPlainString();
    }

    private record ScalarType<T>(String allowed, Function<Object, Optional<T>> convert) implements Type<T> {

        @Override
        public Optional<T> read(RawValue raw) {
            Optional<T> value = convert.apply(raw.value());
            if (value.isEmpty()) {
                raw.reject(allowed);
            }
            return value;
        }
    }

    private record ChoiceType<T>(List<String> names, Function<String, T> convert) implements Type<T> {

        @Override
        public Optional<T> read(RawValue raw) {
            if (raw.value() instanceof String name && names.contains(name)) {
                return Optional.of(convert.apply(name));
            }
            String suggestion = raw.value() instanceof String name
                    ? NameSuggestion.closest(name, names)
                            .map(closest -> "; " + NameSuggestion.question(closest))
                            .orElse("")
                    : "";
            raw.reject(allowed(), suggestion);
            return Optional.empty();
        }

        @Override
        public String allowed() {
            return names.size() == 1 ? '"' + names.get(0) + '"' : "one of \"" + String.join("\", \"", names) + '"';
        }
    }

    private record ListType<T>(Type<T> itemType, int min, int max) implements Type<List<T>> {

        @Override
        public Optional<List<T>> read(RawValue raw) {
            List<RawValue> items = raw.items().orElse(null);
            if (items == null || items.size() < min || items.size() > max) {
                raw.reject(allowed());
                return Optional.empty();
            }
            // Items after a rejected one are read too, so that all errors are reported together.
            List<T> values = new ArrayList<>();
            items.forEach(item -> itemType.read(item).ifPresent(values::add));
            return values.size() == items.size() ? Optional.of(List.copyOf(values)) : Optional.empty();
        }

        @Override
        public String allowed() {
            return "a list of " + min + " to " + max + ", each " + itemType.allowed();
        }
    }
}
