package peppergauge.fleet.decide;

import java.util.Map;
import peppergauge.fleet.state.Tally;
import peppergauge.forecast.KeyReport;
import peppergauge.promises.Cell;

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
}
