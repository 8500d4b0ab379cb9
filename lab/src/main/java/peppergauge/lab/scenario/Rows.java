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
 * Tables of a file as records, both ways. A component that has no key, or a key of another type, fails at the first
 * file read, so no test is needed for each of them.
 */
public final class Rows {

    private Rows() {}

    /** The record that a table's values make. */
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
        } catch (InvocationTargetException refused) {
            throw new IllegalStateException(type.getSimpleName(), refused.getCause());
        } catch (ReflectiveOperationException undeclared) {
            throw new IllegalStateException("record " + type.getSimpleName(), undeclared);
        }
    }

    private static Key<?> key(Table table, RecordComponent component) {
        String name = kebab(component.getName());
        return table.keys().stream()
                .filter(key -> key.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("table " + table.name() + " has no key " + name));
    }

    /** The table as it would stand in a file; reads to an equal record. */
    public static String write(Table table, Record row) {
        StringBuilder text =
                new StringBuilder(table.repeats() ? "[[" + table.name() + "]]\n" : "[" + table.name() + "]\n");
        for (RecordComponent component : row.getClass().getRecordComponents()) {
            Object value = value(row, component);
            if (!Optional.empty().equals(value)) {
                text.append(kebab(component.getName()))
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
        } catch (ReflectiveOperationException hidden) {
            throw new IllegalStateException("component " + component.getName(), hidden);
        }
    }

    private static String literal(Object value) {
        if (value instanceof Optional<?> some) {
            return literal(some.orElseThrow());
        }
        if (value instanceof Duration time) {
            return '"'
                    + BigDecimal.valueOf(time.toNanos(), 6).stripTrailingZeros().toPlainString() + " ms\"";
        }
        if (value instanceof Double number) {
            return BigDecimal.valueOf(number).toPlainString();
        }
        if (value instanceof List<?> list) {
            return list.stream().map(Rows::literal).collect(Collectors.joining(", ", "[", "]"));
        }
        if (value instanceof Enum<?> choice) {
            return '"' + choice.name().toLowerCase(Locale.ROOT).replace('_', '-') + '"';
        }
        return value instanceof String text
                ? '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"'
                : String.valueOf(value);
    }

    private static String kebab(String name) {
        return name.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
    }
}
