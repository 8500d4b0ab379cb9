package peppergauge.cost;

import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Writes maps, lists, text, numbers and booleans as JSON. */
final class Json {

    private Json() { }

    static String text(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            for (Iterator<? extends Map.Entry<?, ?>> entries = map.entrySet().iterator(); entries.hasNext(); ) {
                Map.Entry<?, ?> entry = entries.next();
                quote(String.valueOf(entry.getKey()), out);
                out.append(':');
                write(entry.getValue(), out);
                out.append(entries.hasNext() ? "," : "");
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (Iterator<?> elements = list.iterator(); elements.hasNext(); ) {
                write(elements.next(), out);
                out.append(elements.hasNext() ? "," : "");
            }
            out.append(']');
        } else if (value instanceof Double number && !Double.isFinite(number)) {
            out.append("null");
        } else if (value == null || value instanceof Number || value instanceof Boolean) {
            out.append(value);
        } else {
            quote(value.toString(), out);
        }
    }

    private static void quote(String text, StringBuilder out) {
        out.append('"');
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }
}
