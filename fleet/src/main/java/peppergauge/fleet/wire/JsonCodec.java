package peppergauge.fleet.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/**
 * Writes records as JSON and reads them back. Reading is strict about types, missing numbers and sizes; unknown
 * properties are ignored, so that two releases can talk to each other during a rollout. Thread-safe.
 */
public final class JsonCodec {

    private static final int MAX_DEPTH = 12;
    private static final int MAX_TEXT_LENGTH = 4 << 20;
    private static final int MAX_NAME_LENGTH = 200;
    private static final int MAX_NUMBER_LENGTH = 30;

    private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .maxStringLength(MAX_TEXT_LENGTH)
                            .maxNameLength(MAX_NAME_LENGTH)
                            .maxNumberLength(MAX_NUMBER_LENGTH)
                            .build())
                    .build())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();

    private JsonCodec() {}

    /** Returns a record as JSON. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException bug) {
            throw new IllegalStateException(bug);
        }
    }

    /** Writes a record as JSON to a stream, without buffering all of it. */
    public static void write(Object value, OutputStream out) throws IOException {
        MAPPER.writeValue(out, value);
    }

    /**
     * Reads a record from a stream.
     *
     * @throws IllegalArgumentException if it is malformed, with the reason
     */
    public static <T> T read(InputStream in, Class<T> type) {
        try {
            return MAPPER.readValue(in, type);
        } catch (IOException malformed) {
            throw new IllegalArgumentException(malformed.getMessage(), malformed);
        }
    }

    /**
     * Reads a record.
     *
     * @throws IllegalArgumentException if it is malformed, with the reason
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new IllegalArgumentException("expected a JSON object, got null");
            }
            return value;
        } catch (JsonProcessingException malformed) {
            throw new IllegalArgumentException(malformed.getOriginalMessage(), malformed);
        } catch (IOException unreadable) {
            throw new IllegalArgumentException(unreadable.getMessage(), unreadable);
        }
    }
}
