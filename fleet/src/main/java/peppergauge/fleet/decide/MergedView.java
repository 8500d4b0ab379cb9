package peppergauge.fleet.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import peppergauge.fleet.state.Tally;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.memory.ServiceTimes.Seen;
import peppergauge.forecast.seen.AnswerLevels;
import peppergauge.promises.CumulativeOutcomes;
import peppergauge.promises.TrafficKey;

/**
 * What the whole fleet reported, at one moment.
 *
 * @param totals never fall while a process lives, nor over a restart with its disk
 * @param accounts what each daemon that samples keys told of them last, however long ago, by its name
 * @param daemons that reported lately
 */
public record MergedView(
        long builtMs, Map<TrafficKey, Tally.Total> totals, Map<String, Account> accounts, int daemons) {

    /** @param servers null where the daemon told none; so are service times and levels */
    public record Account(
            long incarnation,
            long sentMs,
            KeyReport keys,
            List<DaemonReport.Server> servers,
            Map<String, Seen> serviceTimes,
            AnswerLevels levels) {

        /** Without what scores forecasts. */
        public Account(
                long incarnation,
                long sentMs,
                KeyReport keys,
                List<DaemonReport.Server> servers,
                Map<String, Seen> serviceTimes) {
            this(incarnation, sentMs, keys, servers, serviceTimes, null);
        }
    }

    public MergedView {
        totals = Map.copyOf(totals);
        accounts = Map.copyOf(accounts);
    }

    /** @param promisedMs by cell; what was answered later than that, denied or failed is missed */
    public List<CumulativeOutcomes> evidence(ToLongFunction<TrafficKey> promisedMs) {
        List<CumulativeOutcomes> evidence = new ArrayList<>();
        totals.forEach((cell, total) -> {
            long kept = Math.min(total.answered(), total.within(promisedMs.applyAsLong(cell)));
            evidence.add(new CumulativeOutcomes(cell, kept, total.answered() - kept + total.denied() + total.failed()));
        });
        return evidence;
    }
}
