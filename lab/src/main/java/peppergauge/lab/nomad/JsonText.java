package peppergauge.lab.nomad;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Writes maps, lists and strings as JSON. */
final class JsonText {

    private static final ObjectMapper JSON = new ObjectMapper();

    private JsonText() {}

    static String of(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException bug) {
            throw new IllegalStateException(bug);
        }
    }
}
