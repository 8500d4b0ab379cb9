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
 * Records to JSON and back, strictly: a number is no text, a missing one no 0. Unknown fields are passed over, for
 * daemons and instances of two releases speak to each other while one is rolled out.
 */
public final class Json {

    private static final int DEEPEST = 12;
    private static final int LONGEST_TEXT = 4 << 20;
    private static final int LONGEST_NAME = 200;
    private static final int LONGEST_NUMBER = 30;

    private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(DEEPEST)
                            .maxStringLength(LONGEST_TEXT)
                            .maxNameLength(LONGEST_NAME)
                            .maxNumberLength(LONGEST_NUMBER)
                            .build())
                    .build())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();

    private Json() {}

    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException bug) {
            throw new IllegalStateException(bug);
        }
    }

    /** As it goes, without holding all of it at once. */
    public static void write(Object value, OutputStream out) throws IOException {
        MAPPER.writeValue(out, value);
    }

    /** As it comes, and throws as {@link #read(byte[], Class)}. */
    public static <T> T read(InputStream in, Class<T> type) {
        try {
            return MAPPER.readValue(in, type);
        } catch (IOException malformed) {
            throw new IllegalArgumentException(malformed.getMessage(), malformed);
        }
    }

    /** @throws IllegalArgumentException saying why it is none */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new IllegalArgumentException("it is null");
            }
            return value;
        } catch (JsonProcessingException malformed) {
            throw new IllegalArgumentException(malformed.getOriginalMessage(), malformed);
        } catch (IOException unreadable) {
            throw new IllegalArgumentException(unreadable.getMessage(), unreadable);
        }
    }
}
