package peppergauge.lab.nomad;

import java.util.List;
import java.util.Map;

/** Writes JSON objects, lists and texts. */
final class Text {

    private Text() { }

    static String of(Object value) {
        StringBuilder text = new StringBuilder();
        write(value, text);
        return text.toString();
    }

    private static void write(Object value, StringBuilder text) {
        if (value instanceof Map<?, ?> object) {
            text.append('{');
            object.forEach((key, each) -> {
                text.append(text.charAt(text.length() - 1) == '{' ? "" : ",");
                write(String.valueOf(key), text);
                text.append(':');
                write(each, text);
            });
            text.append('}');
        } else if (value instanceof List<?> list) {
            text.append('[');
            for (int i = 0; i < list.size(); i++) {
                text.append(i == 0 ? "" : ",");
                write(list.get(i), text);
            }
            text.append(']');
        } else if (value instanceof String word) {
            text.append('"').append(word.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else {
            text.append(value);
        }
    }
}
