package peppergauge.adapter;

import static peppergauge.adapter.MalformedEventException.expect;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import peppergauge.settings.JsonTree;

/** The fields of one event on the wire, read as a unit, so that their order does not matter. */
final class WireEvent {

    private final Map<String, Object> fields;

    /** Reads the object that the parser has just entered. */
    WireEvent(JsonParser parser) throws IOException {
        fields = JsonTree.readObject(parser);
    }

    /** A mandatory text. */
    String text(String key) throws MalformedEventException {
        expect(fields.get(key) instanceof String, "event " + fields.get("op") + " has text " + key);
        return (String) fields.get(key);
    }

    /** A number, or 0 if it is missing. */
    double number(String key) throws MalformedEventException {
        Object value = fields.get(key);
        expect(value == null || value instanceof Number, key + " is a number");
        return value == null ? 0 : ((Number) value).doubleValue();
    }

    /** A whole number, or 0 if it is missing. */
    long integer(String key) throws MalformedEventException {
        Object value = fields.get(key);
        expect(value == null || value instanceof Number, key + " is a number");
        return value == null ? 0 : ((Number) value).longValue();
    }

    /** Whether the field is true; false if it is missing. */
    boolean flag(String key) {
        return Boolean.TRUE.equals(fields.get(key));
    }

    /** A list of numbers, in which anything else is NaN; null if it is missing. */
    double[] numbers(String key) {
        if (!(fields.get(key) instanceof List<?> list)) {
            return null;
        }
        double[] numbers = new double[list.size()];
        for (int i = 0; i < numbers.length; i++) {
            numbers[i] = list.get(i) instanceof Number number ? number.doubleValue() : Double.NaN;
        }
        return numbers;
    }

    /** A mandatory array. */
    List<?> array(String key) throws MalformedEventException {
        expect(fields.get(key) instanceof List, key + " is an array");
        return (List<?>) fields.get(key);
    }

    /** A mandatory object. */
    @SuppressWarnings("unchecked")
    Map<String, Object> object(String key) throws MalformedEventException {
        expect(fields.get(key) instanceof Map, key + " is an object");
        return (Map<String, Object>) fields.get(key);
    }
}
