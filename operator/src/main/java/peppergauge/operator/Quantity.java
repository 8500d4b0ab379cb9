package peppergauge.operator;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A number with a unit, as text: a bare number leaves open what it counts, and is refused.
 *
 * @param units from the smallest, with how many of the base unit (nanoseconds, bytes) each is
 */
record Quantity(Map<String, Long> units) {

    static final Quantity DURATION =
            of("us", 1_000L, "ms", 1_000_000L, "s", 1_000_000_000L, "min", 60_000_000_000L, "h", 3_600_000_000_000L);
    static final Quantity SIZE = of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    // Digits are bounded, so that no text makes a huge number of itself before its range is looked at.
    private static final Pattern FORM = Pattern.compile("(\\d{1,15}(?:\\.\\d{1,9})?) ?([A-Za-z]{1,4})");

    private static Quantity of(Object... pairs) {
        Map<String, Long> units = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            units.put((String) pairs[i], (Long) pairs[i + 1]);
        }
        return new Quantity(units);
    }

    /** In base units; empty if the form or unit is unknown, a fraction of a base unit is left, or it is too much. */
    Optional<Long> read(String text) {
        Matcher form = FORM.matcher(text);
        if (!form.matches() || !units.containsKey(form.group(2))) {
            return Optional.empty();
        }
        try {
            BigDecimal number = new BigDecimal(form.group(1)).multiply(BigDecimal.valueOf(units.get(form.group(2))));
            return Optional.of(number.longValueExact());
        } catch (ArithmeticException fractionOrTooMuch) {
            return Optional.empty();
        }
    }

    /** In the largest unit that leaves no fraction. */
    String text(long number) {
        String text = number + " base units";
        for (Map.Entry<String, Long> unit : units.entrySet()) {
            if (number % unit.getValue() == 0) {
                text = number / unit.getValue() + " " + unit.getKey();
            }
            if (number == 0) {
                return text;
            }
        }
        return text;
    }
}
