package peppergauge.fleet.disk;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.fleet.state.Latencies;
import peppergauge.fleet.state.Tally;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.promises.TrafficKey;

/**
 * Accounts and the totals that they were counted into, as of one moment: from one without the other growth would be
 * counted twice or not at all.
 *
 * @param planner its own state
 * @param forecasts likewise of how they fared; empty in a file of an older release
 */
public record KeptState(List<DaemonReport> reports, List<KeptTotal> totals, byte[] planner, byte[] forecasts) {

    /** One cell's total. */
    public record KeptTotal(TrafficKey cell, long answered, long denied, long failed, String latency) {}

    public KeptState {
        forecasts = forecasts == null ? new byte[0] : forecasts;
    }

    public static KeptState of(
            List<DaemonReport> reports, Map<TrafficKey, Tally.Total> totals, byte[] planner, byte[] forecasts) {
        List<KeptTotal> kept = new ArrayList<>();
        totals.forEach((cell, total) -> kept.add(new KeptTotal(
                cell, total.answered(), total.denied(), total.failed(), Latencies.encode(total.latency()))));
        return new KeptState(reports, kept, planner, forecasts);
    }

    /** @throws IllegalArgumentException if a histogram is none */
    public Map<TrafficKey, Tally.Total> tally() {
        Map<TrafficKey, Tally.Total> tally = new HashMap<>();
        totals.forEach(kept -> tally.put(
                kept.cell(),
                new Tally.Total(kept.answered(), kept.denied(), kept.failed(), Latencies.decode(kept.latency()))));
        return tally;
    }
}
