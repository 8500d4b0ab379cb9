package peppergauge.lab.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * One event of a history. {@link EventKind} defines for each kind what the fields from {@code who} on hold; fields that
 * a kind does not use are empty or 0.
 *
 * @param atNs time by the clock that all processes of one machine share (System.nanoTime)
 */
public record Event(long atNs, EventKind what, String who, String whom, String id, long number, String text) {

    private static final JsonMapper JSON = new JsonMapper();

    /** Returns an event that has no fields besides its time, kind and process. */
    public static Event of(long atNs, EventKind what, String who) {
        return new Event(atNs, what, who, "", "", 0, "");
    }

    /** Returns the same event with another text. */
    public Event withText(String otherText) {
        return new Event(atNs, what, who, whom, id, number, otherText);
    }

    /** Returns the same event with another number. */
    public Event withNumber(long otherNumber) {
        return new Event(atNs, what, who, whom, id, otherNumber, text);
    }

    /** Returns this event as JSON on one line. */
    public String json() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException serializationFailure) {
            throw new IllegalStateException(serializationFailure);
        }
    }

    /** @throws IllegalArgumentException if the line is no event, such as one truncated when its writer was killed */
    public static Event read(String line) {
        try {
            return JSON.readValue(line, Event.class);
        } catch (JsonProcessingException malformed) {
            throw new IllegalArgumentException("expected the JSON of an event, found: " + line, malformed);
        }
    }

    /** Returns the id of the client's request; the ids of its tries add a dot and a number to it. */
    public String wish() {
        int dot = id.lastIndexOf('.');
        return dot < 0 ? id : id.substring(0, dot);
    }

    /** Returns whether the text is the status of a response. */
    boolean hasStatus() {
        return text.matches("[1-5]\\d\\d");
    }

    /** Returns the time from the given one to this event, in ms. */
    double msSince(long fromNs) {
        return (atNs - fromNs) / 1e6;
    }
}
