package peppergauge.nomad.model;

import java.util.List;
import java.util.Map;

/** Reads fields of a parsed JSON object; a field of another type than expected counts as absent. */
final class JsonFields {

    private JsonFields() {}

    static String text(Map<?, ?> object, String name) {
        return object.get(name) instanceof String text ? text : "";
    }

    static long number(Map<?, ?> object, String name) {
        return object.get(name) instanceof Number number ? number.longValue() : 0;
    }

    static boolean flag(Map<?, ?> object, String name) {
        return Boolean.TRUE.equals(object.get(name));
    }

    static Map<?, ?> object(Map<?, ?> object, String name) {
        return object.get(name) instanceof Map<?, ?> nested ? nested : Map.of();
    }

    static List<String> texts(Map<?, ?> object, String name) {
        return object.get(name) instanceof List<?> list
                ? list.stream()
                        .filter(String.class::isInstance)
                        .map(String.class::cast)
                        .toList()
                : List.of();
    }
}
