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

/** The types of values. All bounds are inclusive; a value out of range is refused, never cut to it. */
public final class Types {

    private Types() {}

    public static Type<Long> wholeNumber(long least, long most) {
        return new Simple<>(
                "a whole number from " + least + " to " + most,
                value -> value instanceof Long number && number >= least && number <= most
                        ? Optional.of(number)
                        : Optional.empty());
    }

    /** Takes whole numbers, too; refuses {@code nan} and, by the bounds, {@code inf}. */
    public static Type<Double> number(double least, double most) {
        return new Simple<>("a number from " + plain(least) + " to " + plain(most), value -> {
            double number =
                    value instanceof Long || value instanceof Double ? ((Number) value).doubleValue() : Double.NaN;
            return number >= least && number <= most ? Optional.of(number) : Optional.empty();
        });
    }

    public static Type<Boolean> flag() {
        return new Simple<>(
                "true or false", value -> value instanceof Boolean flag ? Optional.of(flag) : Optional.empty());
    }

    /** Free text without control characters. */
    public static Type<String> text(int least, int most) {
        return new Simple<>(
                "a text of " + least + " to " + most + " characters on one line",
                value -> value instanceof String text
                                && text.length() >= least
                                && text.length() <= most
                                && text.chars().noneMatch(Character::isISOControl)
                        ? Optional.of(text)
                        : Optional.empty());
    }

    /** @param allowed the pattern in words, as for {@link Type#allowed} */
    public static Type<String> text(Pattern pattern, String allowed) {
        return new Simple<>(
                allowed,
                value -> value instanceof String text && pattern.matcher(text).matches()
                        ? Optional.of(text)
                        : Optional.empty());
    }

    /** What other tables refer to. */
    public static Type<String> name() {
        return text(Pattern.compile("[a-z][a-z0-9-]{0,39}"), "a name of a-z, 0-9 and -, at most 40 characters");
    }

    public static Type<String> oneOf(String... names) {
        List<String> known = List.of(names);
        return new OneOf<>(known, name -> name);
    }

    /** The constants' names in lower case, with - for _. */
    public static <E extends Enum<E>> Type<E> oneOf(Class<E> choices) {
        List<E> all = Arrays.asList(choices.getEnumConstants());
        List<String> known = all.stream()
                .map(each -> each.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
        return new OneOf<>(known, name -> all.get(known.indexOf(name)));
    }

    /** A number with a unit in a text, {@code "250 ms"}: us, ms, s, min or h; to the nanosecond. */
    public static Type<Duration> duration(Duration least, Duration most) {
        return quantity("a duration", Quantity.DURATION, least.toNanos(), most.toNanos(), Duration::ofNanos);
    }

    /** The same, its bounds in ms. */
    public static Type<Duration> ms(long least, long most) {
        return duration(Duration.ofMillis(least), Duration.ofMillis(most));
    }

    /** A number of bytes with a unit in a text, {@code "64 KiB"}: B, KiB, MiB or GiB; whole bytes only. */
    public static Type<Long> size(long least, long most) {
        return quantity("a size", Quantity.SIZE, least, most, bytes -> bytes);
    }

    private static <T> Type<T> quantity(String what, Quantity unit, long least, long most, Function<Long, T> to) {
        String allowed = what + " from \"" + unit.text(least) + "\" to \"" + unit.text(most) + "\" in "
                + String.join(", ", unit.units().keySet());
        return new Simple<>(
                allowed,
                value -> value instanceof String text
                        ? unit.read(text)
                                .filter(number -> number >= least && number <= most)
                                .map(to)
                        : Optional.empty());
    }

    public static <T> Type<List<T>> listOf(Type<T> item, int least, int most) {
        return new ListOf<>(item, least, most);
    }

    private static String plain(double number) {
        return new BigDecimal(Double.toString(number)).stripTrailingZeros().toPlainString();
    }

    private record Simple<T>(String allowed, Function<Object, Optional<T>> reading) implements Type<T> {

        @Override
        public Optional<T> read(RawValue found) {
            Optional<T> value = reading.apply(found.value());
            if (value.isEmpty()) {
                found.reject(allowed);
            }
            return value;
        }
    }

    private record OneOf<T>(List<String> known, Function<String, T> to) implements Type<T> {

        @Override
        public Optional<T> read(RawValue found) {
            if (found.value() instanceof String name && known.contains(name)) {
                return Optional.of(to.apply(name));
            }
            String near = found.value() instanceof String name
                    ? Nearest.to(name, known)
                            .map(other -> "; did you mean " + other + "?")
                            .orElse("")
                    : "";
            found.reject(allowed(), near);
            return Optional.empty();
        }

        @Override
        public String allowed() {
            return known.size() == 1 ? '"' + known.get(0) + '"' : "one of \"" + String.join("\", \"", known) + '"';
        }
    }

    private record ListOf<T>(Type<T> item, int least, int most) implements Type<List<T>> {

        @Override
        public Optional<List<T>> read(RawValue found) {
            List<RawValue> items = found.items().orElse(null);
            if (items == null || items.size() < least || items.size() > most) {
                found.reject(allowed());
                return Optional.empty();
            }
            // Each item is read, also after a refused one: all errors are told at once.
            List<T> values = new ArrayList<>();
            items.forEach(each -> item.read(each).ifPresent(values::add));
            return values.size() == items.size() ? Optional.of(List.copyOf(values)) : Optional.empty();
        }

        @Override
        public String allowed() {
            return "a list of " + least + " to " + most + ", each " + item.allowed();
        }
    }
}
