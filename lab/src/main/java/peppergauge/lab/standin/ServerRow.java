package peppergauge.lab.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A backend server in discovery's words.
 *
 * @param addr as {@code host:port}
 * @param state {@code active}, {@code leaving} or, among changes only, {@code left}
 * @param weight 0 or more
 * @param startedMs Unix time of the last start, ms; 0 for long ago
 */
public record ServerRow(
        String id,
        String addr,
        String zone,
        int cell,
        String state,
        double weight,
        @JsonProperty("started_ms") long startedMs) {

    /** An active one that has stood for long. */
    public static ServerRow active(String id, String addr, String zone) {
        return new ServerRow(id, addr, zone, 0, "active", 1, 0);
    }

    /** The same server in another state. */
    public ServerRow in(String other) {
        return new ServerRow(id, addr, zone, cell, other, weight, startedMs);
    }
}
