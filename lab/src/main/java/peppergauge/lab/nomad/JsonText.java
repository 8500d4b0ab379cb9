package peppergauge.lab.nomad;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Writes JSON objects, lists and texts. */
final class Text {

    private static final ObjectMapper JSON = new ObjectMapper();

    private Text() {}

    static String of(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException bug) {
            throw new IllegalStateException(bug);
        }
    }
}
