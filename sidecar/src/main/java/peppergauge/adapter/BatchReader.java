package peppergauge.adapter;

import static peppergauge.adapter.MalformedEventException.expect;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads a line of the simulator's format: a batch of events, grouped by instance. */
final class BatchReader {

    private final JsonFactory json;
    private final EventTranslator translator = new EventTranslator();
    /** Number of the last batch, which also applies to a batch without a number. */
    private long number;

    BatchReader(JsonFactory json) {
        this.json = json;
    }

    /**
     * Reads the current line.
     *
     * @throws com.fasterxml.jackson.core.JsonProcessingException if the line is not valid JSON
     * @throws IllegalArgumentException if the settings of a new instance are not valid
     */
    InstanceInput.Batch read(LineReader lines) throws IOException, MalformedEventException {
        try (JsonParser parser = json.createParser(lines.bytes(), lines.offset(), lines.length())) {
            return readBatch(parser);
        }
    }

    private InstanceInput.Batch readBatch(JsonParser parser) throws IOException, MalformedEventException {
        List<InstanceInput.Group> groups = new ArrayList<>();
        double timeMs = 0;
        boolean hasTime = false;
        expect(parser.nextToken() == JsonToken.START_OBJECT, "batch", "an object", parser.currentToken());
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (key) {
                case "timeMs" -> {
                    expect(value.isNumeric(), "timeMs", "a number", value);
                    timeMs = parser.getDoubleValue();
                    hasTime = true;
                }
                case "batch" -> {
                    expect(value == JsonToken.VALUE_NUMBER_INT, "batch", "an integer", value);
                    number = parser.getLongValue();
                }
                case "proxys" -> readGroups(parser, value, groups);
                default -> parser.skipChildren();
            }
        }
        expect(parser.nextToken() == null, "line", "one JSON value", parser.currentToken());
        expect(hasTime, "timeMs", "a number", null);
        return new InstanceInput.Batch(timeMs, number, groups);
    }

    private void readGroups(JsonParser parser, JsonToken value, List<InstanceInput.Group> groups)
            throws IOException, MalformedEventException {
        expect(value == JsonToken.START_ARRAY, "proxys", "an array", value);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            groups.add(readGroup(parser));
        }
    }

    private InstanceInput.Group readGroup(JsonParser parser) throws IOException, MalformedEventException {
        expect(parser.currentToken() == JsonToken.START_OBJECT, "proxys", "objects", parser.currentToken());
        String instance = null;
        List<InstanceInput> inputs = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (key) {
                case "who" -> instance = parser.getText();
                case "in" -> readInputs(parser, value, inputs);
                default -> parser.skipChildren();
            }
        }
        expect(instance != null || inputs.isEmpty(), "who", "the name of the instance", null);
        return new InstanceInput.Group(instance, inputs);
    }

    private void readInputs(JsonParser parser, JsonToken value, List<InstanceInput> inputs)
            throws IOException, MalformedEventException {
        expect(value == JsonToken.START_ARRAY, "in", "an array", value);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken() == JsonToken.START_OBJECT, "event", "an object", parser.currentToken());
            InstanceInput input = translator.translate(new WireEvent(parser));
            if (input != null) {
                inputs.add(input);
            }
        }
    }
}
