package peppergauge.fleet.wire;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Response to a daemon that polls for a table.
 *
 * @param table null if the daemon has the newest one
 * @param pollIntervalMs time until the daemon's next poll, ms; {@code askMs} in JSON
 */
public record TableResponse(
        FleetTable table, @JsonProperty("askMs") long pollIntervalMs) {}
