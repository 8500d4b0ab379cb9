package peppergauge.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.JsonEOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON text into maps, lists, strings, numbers and booleans. Stateless and thread-safe. */
public final class JsonTree {

    private static final JsonFactory JSON = new JsonFactory();

    private JsonTree() {}

    /**
     * Parses bytes that contain exactly one JSON object.
     *
     * @throws IllegalArgumentException if they do not; for invalid JSON, its message contains the position
     */
    public static Map<String, Object> parse(byte[] bytes, int offset, int length) {
        try (JsonParser parser = JSON.createParser(bytes, offset, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("not a JSON object");
            }
            Map<String, Object> object = readObject(parser);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("more than one JSON value");
            }
            return object;
        } catch (JsonProcessingException malformed) {
            throw new IllegalArgumentException(
                    "not valid JSON at line " + malformed.getLocation().getLineNr() + ", column "
                            + malformed.getLocation().getColumnNr());
        } catch (IOException impossible) {
            throw new IllegalArgumentException("unreadable JSON", impossible);
        }
    }

    /** Returns whether the text is a JSON object or the beginning of one. */
    public static boolean isPrefixOfObject(byte[] prefix) {
        try (JsonParser parser = JSON.createParser(prefix)) {
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                readObject(parser);
                return true;
            }
            return false;
        } catch (JsonEOFException truncated) {
            return true;
        } catch (IOException malformed) {
            return false;
        }
    }

    /** Reads the object whose opening brace is the parser's current token. */
    public static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        for (JsonToken next = parser.nextToken(); next != JsonToken.END_OBJECT; next = parser.nextToken()) {
            String key = parser.currentName();
            parser.nextToken();
            object.put(key, readValue(parser));
        }
        return object;
    }

    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(readValue(parser));
                }
                yield list;
            }
            case VALUE_NUMBER_INT -> parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> parser.getText();
        };
    }
}
