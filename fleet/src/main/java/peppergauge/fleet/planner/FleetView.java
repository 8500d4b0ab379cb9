package peppergauge.fleet.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import peppergauge.fleet.state.TrafficTotals;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.cache.ServiceTimes.Snapshot;
import peppergauge.forecast.observation.ResponseTimes;
import peppergauge.promises.CumulativeOutcomes;
import peppergauge.promises.TrafficKey;

/**
 * Snapshot of all merged reports at one moment. Immutable.
 *
 * @param builtMs time of the view, Unix ms
 * @param totals cluster-wide totals, which never fall
 * @param daemonViews newest key statistics of each daemon that samples keys, by name; they may be of any age
 * @param liveDaemons number of daemons that reported recently
 */
public record FleetView(
        long builtMs,
        Map<TrafficKey, TrafficTotals.Total> totals,
        Map<String, DaemonView> daemonViews,
        int liveDaemons) {

    /**
     * Key statistics of one daemon.
     *
     * @param sentMs time of its report by its own clock, Unix ms
     * @param servers servers of its endpoint list, null from a daemon that sends none
     * @param serviceTimes service times by kind of server, null from a daemon that sends none
     * @param responseTimes response times by which forecasts are scored, null from a daemon that sends none
     */
    public record DaemonView(
            long incarnation,
            long sentMs,
            KeyReport keys,
            List<DaemonReport.Server> servers,
            Map<String, Snapshot> serviceTimes,
            ResponseTimes responseTimes) {

        /** Creates a view without the response times by which forecasts are scored. */
        public DaemonView(
                long incarnation,
                long sentMs,
                KeyReport keys,
                List<DaemonReport.Server> servers,
                Map<String, Snapshot> serviceTimes) {
            this(incarnation, sentMs, keys, servers, serviceTimes, null);
        }
    }

    public FleetView {
        totals = Map.copyOf(totals);
        daemonViews = Map.copyOf(daemonViews);
    }

    /**
     * Returns the outcome counters by key.
     *
     * @param latencyMs latency objective of a key, ms; later responses, rejections and failures are misses
     */
    public List<CumulativeOutcomes> outcomes(ToLongFunction<TrafficKey> latencyMs) {
        List<CumulativeOutcomes> outcomes = new ArrayList<>();
        totals.forEach((key, total) -> {
            long met = Math.min(total.answered(), total.answeredWithin(latencyMs.applyAsLong(key)));
            long missed = total.answered() - met + total.rejected() + total.failed();
            outcomes.add(new CumulativeOutcomes(key, met, missed));
        });
        return outcomes;
    }
}
