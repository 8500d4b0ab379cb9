package peppergauge.adapter;

import static peppergauge.adapter.MalformedEventException.expect;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads a line of the simulator's wire: a batch of events, in groups by instance. */
final class BatchReader {

    private final JsonFactory json;
    private final EventTranslator translator = new EventTranslator();
    /** Of the last batch; one without a number keeps it. */
    private long number;

    BatchReader(JsonFactory json) {
        this.json = json;
    }

    /**
     * Reads the present line.
     *
     * @throws com.fasterxml.jackson.core.JsonProcessingException if it is not JSON
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
        expect(parser.nextToken() == JsonToken.START_OBJECT, "a batch is an object");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (key) {
                case "timeMs" -> {
                    expect(value.isNumeric(), "timeMs is a number");
                    timeMs = parser.getDoubleValue();
                    hasTime = true;
                }
                case "batch" -> {
                    expect(value == JsonToken.VALUE_NUMBER_INT, "batch is a whole number");
                    number = parser.getLongValue();
                }
                case "proxys" -> readGroups(parser, value, groups);
                default -> parser.skipChildren();
            }
        }
        expect(parser.nextToken() == null, "a line holds one value");
        expect(hasTime, "a batch has timeMs");
        return new InstanceInput.Batch(timeMs, number, groups);
    }

    private void readGroups(JsonParser parser, JsonToken value, List<InstanceInput.Group> groups)
            throws IOException, MalformedEventException {
        expect(value == JsonToken.START_ARRAY, "proxys is an array");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            groups.add(readGroup(parser));
        }
    }

    private InstanceInput.Group readGroup(JsonParser parser) throws IOException, MalformedEventException {
        expect(parser.currentToken() == JsonToken.START_OBJECT, "an element of proxys is an object");
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
        expect(instance != null || inputs.isEmpty(), "events come with who");
        return new InstanceInput.Group(instance, inputs);
    }

    private void readInputs(JsonParser parser, JsonToken value, List<InstanceInput> inputs)
            throws IOException, MalformedEventException {
        expect(value == JsonToken.START_ARRAY, "in is an array");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken() == JsonToken.START_OBJECT, "an event is an object");
            InstanceInput input = translator.translate(new WireEvent(parser));
            if (input != null) {
                inputs.add(input);
            }
        }
    }
}
