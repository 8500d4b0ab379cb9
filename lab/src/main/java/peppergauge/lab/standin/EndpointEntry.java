package peppergauge.lab.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A backend server's entry in the endpoint list.
 *
 * @param addr as {@code host:port}
 * @param state {@code active}, {@code leaving} or, in changes only, {@code left}
 * @param weight 0 or more
 * @param startedMs Unix time of the last start, in ms; 0 if it was long ago
 */
public record EndpointEntry(
        String id,
        String addr,
        String zone,
        int cell,
        String state,
        double weight,
        @JsonProperty("started_ms") long startedMs) {

    /** Returns the entry of an active server that started long ago. */
    public static EndpointEntry active(String id, String addr, String zone) {
        return new EndpointEntry(id, addr, zone, 0, "active", 1, 0);
    }

    /** Returns the same entry with another state. */
    public EndpointEntry in(String other) {
        return new EndpointEntry(id, addr, zone, cell, other, weight, startedMs);
    }
}
