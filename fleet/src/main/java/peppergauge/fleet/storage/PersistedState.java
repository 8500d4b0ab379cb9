package peppergauge.fleet.storage;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.fleet.state.TrafficTotals;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.promises.TrafficKey;

/**
 * Merged state of an instance, as stored: reports and the totals that include them, at one moment.
 *
 * @param reports of all daemons
 * @param totals by key
 * @param plannerState state of the planner in its own format; {@code planner} in JSON
 * @param forecastState state of the planner's forecasts; {@code forecasts} in JSON; empty in a file of an older release
 */
public record PersistedState(
        List<DaemonReport> reports,
        List<PersistedTotal> totals,
        @JsonProperty("planner") byte[] plannerState,
        @JsonProperty("forecasts") byte[] forecastState) {

    /** Total of one key, with its latency histogram in Base64. */
    public record PersistedTotal(
            @JsonProperty("cell") TrafficKey key,
            long answered,
            @JsonProperty("denied") long rejected,
            long failed,
            String latency) {}

    /** Replaces a missing forecast state by an empty one. */
    public PersistedState {
        forecastState = forecastState == null ? new byte[0] : forecastState;
    }

    /** Returns the stored form of reports and totals. */
    public static PersistedState of(
            List<DaemonReport> reports,
            Map<TrafficKey, TrafficTotals.Total> totals,
            byte[] plannerState,
            byte[] forecastState) {
        List<PersistedTotal> persisted = new ArrayList<>();
        totals.forEach((key, total) -> persisted.add(new PersistedTotal(
                key, total.answered(), total.rejected(), total.failed(), LatencyHistograms.encode(total.latency()))));
        return new PersistedState(reports, persisted, plannerState, forecastState);
    }

    /**
     * Returns the totals by key.
     *
     * @throws IllegalArgumentException if a histogram is malformed
     */
    public Map<TrafficKey, TrafficTotals.Total> totalsByKey() {
        Map<TrafficKey, TrafficTotals.Total> byKey = new HashMap<>();
        totals.forEach(total -> byKey.put(
                total.key(),
                new TrafficTotals.Total(
                        total.answered(),
                        total.rejected(),
                        total.failed(),
                        LatencyHistograms.decode(total.latency()))));
        return byKey;
    }
}
