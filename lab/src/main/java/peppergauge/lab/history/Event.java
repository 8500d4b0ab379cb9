package peppergauge.lab.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * One thing that happened.
 *
 * @param atNs when, by the clock that all processes of one machine share (System.nanoTime)
 * @param who see {@link What}, as for the rest; empty or 0 where there is nothing to say
 */
public record Event(long atNs, What what, String who, String whom, String id, long number, String text) {

    private static final JsonMapper JSON = new JsonMapper();

    /** One of a process. */
    public static Event of(long atNs, What what, String who) {
        return new Event(atNs, what, who, "", "", 0, "");
    }

    /** The same with words. */
    public Event saying(String words) {
        return new Event(atNs, what, who, whom, id, number, words);
    }

    /** The same with a number. */
    public Event counting(long figure) {
        return new Event(atNs, what, who, whom, id, figure, text);
    }

    /** On one line. */
    public String json() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** @throws IllegalArgumentException if the line is none, such as one whose writer was killed in its middle */
    public static Event read(String line) {
        try {
            return JSON.readValue(line, Event.class);
        } catch (JsonProcessingException malformed) {
            throw new IllegalArgumentException(line, malformed);
        }
    }

    /** The donation or other wish behind a session: its tries have ids of their own, with a dot and a number. */
    public String wish() {
        int dot = id.lastIndexOf('.');
        return dot < 0 ? id : id.substring(0, dot);
    }

    double msSince(long fromNs) {
        return (atNs - fromNs) / 1e6;
    }
}
