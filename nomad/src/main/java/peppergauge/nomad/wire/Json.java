package peppergauge.nomad.wire;

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
 * Reads JSON within bounds, and of objects only the fields that are used. Guards against answers that are small as
 * bytes and large as a tree: an allocation of Nomad's holds its whole job, of which nothing is needed here.
 */
public final class Json {

    /** Under these everything is read: their keys are free. */
    private static final Set<String> FREE = Set.of("Meta");
    /** Under these the keys are free, and of their values only the fields that are used are kept. */
    private static final Set<String> NAMED = Set.of("TaskStates");

    private static final Set<String> USED = Set.of(
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

    private final Bounds bounds;
    private final JsonFactory factory;

    public Json(Bounds bounds) {
        this.bounds = bounds;
        factory = JsonFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(bounds.depth())
                        .maxStringLength(bounds.bytes())
                        .build())
                .build();
    }

    /**
     * The one value that the bytes hold: maps, lists, texts, numbers and booleans.
     *
     * @param all whether all fields are kept, for an answer whose own keys are free
     * @throws IllegalArgumentException if it is no JSON or beyond the bounds; says which
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
            // A breach of the constraints has no place.
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
            if (!all && NAMED.contains(name) && parser.currentToken() == JsonToken.START_OBJECT) {
                object.put(name, named(parser));
            } else if (all || USED.contains(name)) {
                object.put(name, value(parser, all || FREE.contains(name)));
                bounded(object.size());
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
            bounded(object.size());
        }
        return object;
    }

    private List<Object> list(JsonParser parser, boolean all) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(value(parser, all));
            bounded(list.size());
        }
        return list;
    }

    private void bounded(int size) {
        if (size > bounds.entries()) {
            throw new IllegalArgumentException("over " + bounds.entries() + " entries");
        }
    }
}
