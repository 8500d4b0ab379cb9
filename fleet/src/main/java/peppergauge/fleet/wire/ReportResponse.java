package peppergauge.fleet.wire;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Response to a {@link DaemonReport}.
 *
 * @param verdict name of the verdict in lower case
 * @param reportIntervalMs time until the daemon's next report, ms; {@code reportMs} in JSON
 * @param pollIntervalMs time between the daemon's polls for tables, ms; {@code askMs} in JSON
 */
public record ReportResponse(
        String verdict,
        @JsonProperty("reportMs") long reportIntervalMs,
        @JsonProperty("askMs") long pollIntervalMs) {}
