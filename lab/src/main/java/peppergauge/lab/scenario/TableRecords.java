package peppergauge.lab.scenario;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Values;

/**
 * Converts tables of a file to records and back. A record component without a key, or with a key of another type, fails
 * when the first file is read, so that no test is needed for each component.
 */
public final class TableRecords {

    private TableRecords() {}

    /**
     * Returns the record with a table's values.
     *
     * @throws IllegalStateException if the record does not match the table or rejects the values
     */
    public static <R extends Record> R read(Class<R> type, Table table, Values values) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Object[] arguments = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            Key<?> key = key(table, components[i]);
            arguments[i] = types[i] == Optional.class ? values.find(key) : values.get(key);
        }
        try {
            return type.getDeclaredConstructor(types).newInstance(arguments);
        } catch (InvocationTargetException rejected) {
            throw new IllegalStateException(
                    "record " + type.getSimpleName() + " rejects the values of table " + table.name(),
                    rejected.getCause());
        } catch (ReflectiveOperationException noConstructor) {
            throw new IllegalStateException(
                    "record " + type.getSimpleName() + " has no usable canonical constructor", noConstructor);
        }
    }

    private static Key<?> key(Table table, RecordComponent component) {
        String name = toKebabCase(component.getName());
        return table.keys().stream()
                .filter(key -> key.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("table " + table.name() + " has no key " + name));
    }

    /** Returns a record as the text of a table; reading it gives an equal record. */
    public static String write(Table table, Record row) {
        StringBuilder text =
                new StringBuilder(table.repeats() ? "[[" + table.name() + "]]\n" : "[" + table.name() + "]\n");
        for (RecordComponent component : row.getClass().getRecordComponents()) {
            Object value = value(row, component);
            if (!Optional.empty().equals(value)) {
                text.append(toKebabCase(component.getName()))
                        .append(" = ")
                        .append(literal(value))
                        .append('\n');
            }
        }
        return text.append('\n').toString();
    }

    private static Object value(Record row, RecordComponent component) {
        try {
            return component.getAccessor().invoke(row);
        } catch (ReflectiveOperationException inaccessible) {
            throw new IllegalStateException("component " + component.getName() + " cannot be read", inaccessible);
        }
    }

    private static String literal(Object value) {
        if (value instanceof Optional<?> optional) {
            return literal(optional.orElseThrow());
        }
        if (value instanceof Duration time) {
            return '"'
                    + BigDecimal.valueOf(time.toNanos(), 6).stripTrailingZeros().toPlainString() + " ms\"";
        }
        if (value instanceof Double number) {
            return BigDecimal.valueOf(number).toPlainString();
        }
        if (value instanceof List<?> list) {
            return list.stream().map(TableRecords::literal).collect(Collectors.joining(", ", "[", "]"));
        }
        if (value instanceof Enum<?> choice) {
            return '"' + choice.name().toLowerCase(Locale.ROOT).replace('_', '-') + '"';
        }
        return value instanceof String text
                ? '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"'
                : String.valueOf(value);
    }

    private static String toKebabCase(String name) {
        return name.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
    }
}
