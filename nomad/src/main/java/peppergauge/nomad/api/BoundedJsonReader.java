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
 * Parses JSON within limits, and keeps only the fields that are used: Nomad's objects are large, and most of their
 * fields are not needed. Thread-safe.
 */
public final class BoundedJsonReader {

    /** Objects with free keys, of which everything is kept. */
    private static final Set<String> FREE_KEY_FIELDS = Set.of("Meta");
    /** Objects with free keys, of whose values only the used fields are kept. */
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

    public BoundedJsonReader(ResponseLimits bounds) {
        this.limits = bounds;
        factory = JsonFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(bounds.maxDepth())
                        .maxStringLength(bounds.maxBytes())
                        .build())
                .build();
    }

    /**
     * Parses bytes that hold exactly one JSON value, into maps, lists, strings, numbers and booleans.
     *
     * @param all whether all fields are kept, for a response whose own keys are free
     * @throws IllegalArgumentException if they are not valid JSON or exceed a limit
     */
    public Object read(byte[] bytes, boolean all) {
        try (JsonParser parser = factory.createParser(bytes)) {
            parser.nextToken();
            Object value = value(parser, all);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("more than one JSON value");
            }
            return value;
        } catch (JsonProcessingException bad) {
            // An exceeded limit has no location.
            throw new IllegalArgumentException("not valid JSON, or nested too deeply"
                    + (bad.getLocation() == null
                            ? ""
                            : ", at byte " + bad.getLocation().getByteOffset()));
        } catch (IOException impossible) {
            throw new IllegalArgumentException("unreadable JSON", impossible);
        }
    }

    private Object value(JsonParser parser, boolean all) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new IllegalArgumentException("no JSON value");
        }
        return switch (token) {
            case START_OBJECT -> object(parser, all);
            case START_ARRAY -> list(parser, all);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> parser.getText();
        };
    }

    private Map<String, Object> object(JsonParser parser, boolean all) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            if (!all && NAMED_OBJECT_FIELDS.contains(name) && parser.currentToken() == JsonToken.START_OBJECT) {
                object.put(name, named(parser));
            } else if (all || USED_FIELDS.contains(name)) {
                object.put(name, value(parser, all || FREE_KEY_FIELDS.contains(name)));
                requireWithinLimit(object.size());
            } else {
                parser.skipChildren();
            }
        }
        return object;
    }

    private Map<String, Object> named(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, value(parser, false));
            requireWithinLimit(object.size());
        }
        return object;
    }

    private List<Object> list(JsonParser parser, boolean all) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(value(parser, all));
            requireWithinLimit(list.size());
        }
        return list;
    }

    private void requireWithinLimit(int size) {
        if (size > limits.maxEntries()) {
            throw new IllegalArgumentException("over " + limits.maxEntries() + " entries");
        }
    }
}
