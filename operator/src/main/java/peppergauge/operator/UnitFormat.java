package peppergauge.operator;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats numbers with a unit, such as {@code 250 ms}. A number without a unit is rejected as ambiguous.
 *
 * @param units each unit's size in base units (nanoseconds, bytes), in ascending order
 */
record UnitFormat(Map<String, Long> units) {

    static final UnitFormat DURATION =
            of("us", 1_000L, "ms", 1_000_000L, "s", 1_000_000_000L, "min", 60_000_000_000L, "h", 3_600_000_000_000L);
    static final UnitFormat SIZE = of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    // The number of digits is limited so that a text cannot produce a huge number before its range is checked.
    private static final Pattern NUMBER_AND_UNIT = Pattern.compile("(\\d{1,15}(?:\\.\\d{1,9})?) ?([A-Za-z]{1,4})");

    private static UnitFormat of(Object... unitsAndSizes) {
        Map<String, Long> units = new LinkedHashMap<>();
        for (int i = 0; i < unitsAndSizes.length; i += 2) {
            units.put((String) unitsAndSizes[i], (Long) unitsAndSizes[i + 1]);
        }
        return new UnitFormat(units);
    }

    /**
     * Parses a number with a unit.
     *
     * @return the number in base units; empty if the syntax or unit is unknown, the number is not a whole number of
     *     base units, or it exceeds the range of a long
     */
    Optional<Long> parse(String text) {
        Matcher matcher = NUMBER_AND_UNIT.matcher(text);
        if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
            return Optional.empty();
        }
        BigDecimal unitSize = BigDecimal.valueOf(units.get(matcher.group(2)));
        try {
            return Optional.of(
                    new BigDecimal(matcher.group(1)).multiply(unitSize).longValueExact());
        } catch (ArithmeticException fractionOrOverflow) {
            return Optional.empty();
        }
    }

    /** Formats a number of base units in the largest unit in which it is a whole number. */
    String format(long baseUnits) {
        String text = baseUnits + " base units";
        for (Map.Entry<String, Long> unit : units.entrySet()) {
            if (baseUnits % unit.getValue() == 0) {
                text = baseUnits / unit.getValue() + " " + unit.getKey();
            }
            if (baseUnits == 0) {
                return text;
            }
        }
        return text;
    }
}
