package peppergauge.nomad.api;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Parses JSON within limits and keeps only the fields that are used, because Nomad's objects are large. Thread-safe.
 */
public final class BoundedJsonReader {

    /** Fields with an object of arbitrary keys that is kept completely. */
    private static final Set<String> FREE_KEY_FIELDS = Set.of("Meta");

    /** Fields with an object of arbitrary keys, of whose values only the used fields are kept. */
    private static final Set<String> NAMED_OBJECT_FIELDS = Set.of("TaskStates");

    private static final Set<String> USED_FIELDS = Set.of(
            "ID",
            "ServiceName",
            "Namespace",
            "NodeID",
            "Datacenter",
            "JobID",
            "AllocID",
            "Tags",
            "Address",
            "Port",
            "ModifyIndex",
            "DesiredStatus",
            "ClientStatus",
            "DesiredTransition",
            "Migrate",
            "Reschedule",
            "ForceReschedule",
            "DeploymentStatus",
            "Healthy",
            "SchedulingEligibility",
            "Status",
            "Drain",
            "DrainStrategy",
            "Meta",
            "Index",
            "Events",
            "Topic",
            "Type",
            "Key",
            "Payload",
            "Service",
            "Allocation",
            "Node",
            "TaskStates",
            "StartedAt");

    private final ResponseLimits limits;
    private final JsonFactory factory;

    public BoundedJsonReader(ResponseLimits limits) {
        this.limits = limits;
        factory = JsonFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(limits.maxDepth())
                        .maxStringLength(limits.maxBytes())
                        .build())
                .build();
    }

    /**
     * Parses bytes that hold exactly one JSON value, into maps, lists, strings, numbers and booleans.
     *
     * @param keepAllFields whether all fields are kept, for a response with arbitrary keys
     * @throws IllegalArgumentException if they are not valid JSON or exceed a limit
     */
    public Object read(byte[] bytes, boolean keepAllFields) {
        try (JsonParser parser = factory.createParser(bytes)) {
            parser.nextToken();
            Object value = readValue(parser, keepAllFields);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("more than one JSON value");
            }
            return value;
        } catch (JsonProcessingException invalid) {
            // The exception of an exceeded limit has no location.
            throw new IllegalArgumentException("not valid JSON, or nested too deeply"
                    + (invalid.getLocation() == null
                            ? ""
                            : ", at byte " + invalid.getLocation().getByteOffset()));
        } catch (IOException impossible) {
            throw new IllegalArgumentException("unreadable JSON", impossible);
        }
    }

    private Object readValue(JsonParser parser, boolean keepAllFields) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new IllegalArgumentException("no JSON value");
        }
        return switch (token) {
            case START_OBJECT -> readObject(parser, keepAllFields);
            case START_ARRAY -> readArray(parser, keepAllFields);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> parser.getText();
        };
    }

    private Map<String, Object> readObject(JsonParser parser, boolean keepAllFields) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            if (!keepAllFields
                    && NAMED_OBJECT_FIELDS.contains(name)
                    && parser.currentToken() == JsonToken.START_OBJECT) {
                object.put(name, readNamedObjects(parser));
            } else if (keepAllFields || USED_FIELDS.contains(name)) {
                object.put(name, readValue(parser, keepAllFields || FREE_KEY_FIELDS.contains(name)));
                requireWithinLimit(object.size());
            } else {
                parser.skipChildren();
            }
        }
        return object;
    }

    private Map<String, Object> readNamedObjects(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, readValue(parser, false));
            requireWithinLimit(object.size());
        }
        return object;
    }

    private List<Object> readArray(JsonParser parser, boolean keepAllFields) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(readValue(parser, keepAllFields));
            requireWithinLimit(list.size());
        }
        return list;
    }

    private void requireWithinLimit(int size) {
        if (size > limits.maxEntries()) {
            throw new IllegalArgumentException(
                    "JSON object or array has more than " + limits.maxEntries() + " entries");
        }
    }
}
