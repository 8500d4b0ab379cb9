package peppergauge.fleet.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import peppergauge.fleet.state.Tally;
import peppergauge.forecast.KeyReport;
import peppergauge.promises.Cell;
import peppergauge.promises.Evidence;

/**
 * What the whole fleet reported, at one moment.
 *
 * @param totals never fall while a process lives, nor over a restart with its disk
 * @param keys newest of each daemon that samples, by its name
 * @param daemons that reported lately
 */
public record MergedView(long builtMs, Map<Cell, Tally.Total> totals, Map<String, KeyReport> keys, int daemons) {

    public MergedView {
        totals = Map.copyOf(totals);
        keys = Map.copyOf(keys);
    }

    /** @param promisedMs by cell; what was answered later than that, denied or failed is missed */
    public List<Evidence> evidence(ToLongFunction<Cell> promisedMs) {
        List<Evidence> evidence = new ArrayList<>();
        totals.forEach((cell, total) -> {
            long kept = Math.min(total.answered(), total.within(promisedMs.applyAsLong(cell)));
            evidence.add(new Evidence(cell, kept, total.answered() - kept + total.denied() + total.failed()));
        });
        return evidence;
    }
}
