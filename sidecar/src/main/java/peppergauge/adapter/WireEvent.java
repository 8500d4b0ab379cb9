package peppergauge.adapter;

import static peppergauge.adapter.MalformedEventException.expect;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import peppergauge.settings.JsonTree;

/** The fields of one event of the simulator's format, which may be in any order. */
final class WireEvent {

    private final Map<String, Object> fields;

    /** Reads the object at whose start the parser is. */
    WireEvent(JsonParser parser) throws IOException {
        fields = JsonTree.readObject(parser);
    }

    /** A mandatory string. */
    String text(String key) throws MalformedEventException {
        Object value = fields.get(key);
        expect(value instanceof String, key, "a string", value);
        return (String) value;
    }

    /** A number; 0 if the field is missing. */
    double number(String key) throws MalformedEventException {
        return numberOrZero(key).doubleValue();
    }

    /** A number without its fraction; 0 if the field is missing. */
    long integer(String key) throws MalformedEventException {
        return numberOrZero(key).longValue();
    }

    private Number numberOrZero(String key) throws MalformedEventException {
        Object value = fields.get(key);
        expect(value == null || value instanceof Number, key, "a number", value);
        return value == null ? 0 : (Number) value;
    }

    /** Whether the field has the value true. */
    boolean flag(String key) {
        return Boolean.TRUE.equals(fields.get(key));
    }

    /** An array of numbers, with NaN for other elements; null if the field is missing or not an array. */
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
        Object value = fields.get(key);
        expect(value instanceof List, key, "an array", value);
        return (List<?>) value;
    }

    /** A mandatory object. */
    @SuppressWarnings("unchecked")
    Map<String, Object> object(String key) throws MalformedEventException {
        Object value = fields.get(key);
        expect(value instanceof Map, key, "an object", value);
        return (Map<String, Object>) value;
    }
}
