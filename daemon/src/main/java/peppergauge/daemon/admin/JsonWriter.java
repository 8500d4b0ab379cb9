package peppergauge.daemon.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;

/** Writes maps, lists, strings, numbers and booleans as JSON on one line. */
public final class JsonWriter {

    private static final JsonFactory JSON = new JsonFactory();

    private JsonWriter() {}

    /** Returns a value as JSON. Objects of other types are written as their string representation. */
    public static String write(Object value) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            write(value, out);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return text.toString();
    }

    private static void write(Object value, JsonGenerator out) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.writeFieldName(String.valueOf(entry.getKey()));
                write(entry.getValue(), out);
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object item : list) {
                write(item, out);
            }
            out.writeEndArray();
        } else if (value instanceof Double number) {
            out.writeNumber(number);
        } else if (value instanceof Number number) {
            out.writeNumber(number.longValue());
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else {
            out.writeString(String.valueOf(value));
        }
    }
}
