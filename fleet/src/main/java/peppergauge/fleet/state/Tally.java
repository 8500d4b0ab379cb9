package peppergauge.fleet.state;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.CellCounts;
import peppergauge.promises.Cell;

/**
 * What the fleet's clients saw in all, by cell, since this instance began to count: the growth of each account is
 * added, so that totals never fall when daemons die, are restarted or forgotten. Not safe for several threads.
 */
public final class Tally {

    /** @param latency answers in ms; not to be changed by who is handed it */
    public record Total(long answered, long denied, long failed, Histogram latency) {

        static final Total NOTHING = new Total(0, 0, 0, Latencies.empty());

        /** Answered within so many ms. */
        public long within(long ms) {
            return latency.getCountBetweenValues(0, Math.min(ms, Latencies.MOST_MS));
        }

        Total plus(CellCounts before, CellCounts now) {
            Histogram sum = latency.copy();
            Histogram grown = Latencies.decode(now.latency());
            if (before != null && before.latency() != null) {
                try {
                    grown.subtract(Latencies.decode(before.latency()));
                } catch (RuntimeException fell) {
                    // Not cumulative, so a broken daemon's: nothing of it is counted twice.
                    grown.reset();
                }
            }
            sum.add(grown);
            return new Total(answered + grown(before == null ? 0 : before.answered(), now.answered()),
                    denied + grown(before == null ? 0 : before.denied(), now.denied()),
                    failed + grown(before == null ? 0 : before.failed(), now.failed()), sum);
        }

        private static long grown(long before, long now) {
            return Math.max(0, now - before);
        }
    }

    private final Map<Cell, Total> totals;
    private final int mostCells;
    private long passedOver;

    public Tally(int mostCells) {
        this(mostCells, Map.of());
    }

    public Tally(int mostCells, Map<Cell, Total> before) {
        this.mostCells = mostCells;
        totals = new HashMap<>(before);
    }

    static Cell cell(CellCounts counts) {
        return new Cell(counts.station(), counts.requestClass(), counts.zone());
    }

    /**
     * Counts by how much an account grew. One that is met for the first time and whose daemon started longer ago than
     * accounts are held may have been counted and forgotten: it counts from here on.
     */
    public void count(FleetState.Change change, long nowMs, long forgetMs) {
        DaemonReport now = change.now();
        if (change.before() == null && nowMs - now.incarnation() > forgetMs) {
            return;
        }
        Map<Cell, CellCounts> before = new HashMap<>();
        if (change.before() != null) {
            change.before().cells().forEach(counts -> before.put(cell(counts), counts));
        }
        for (CellCounts counts : now.cells()) {
            Cell cell = cell(counts);
            if (!counts.equals(before.get(cell))) {
                add(cell, before.get(cell), counts);
            }
        }
    }

    private void add(Cell cell, CellCounts before, CellCounts now) {
        Total total = totals.get(cell);
        if (total == null && totals.size() >= mostCells) {
            passedOver++;
        } else {
            totals.put(cell, (total == null ? Total.NOTHING : total).plus(before, now));
        }
    }

    /** As it is now; later counting does not change it. */
    public Map<Cell, Total> totals() {
        return Map.copyOf(totals);
    }

    /** Accounts of cells beyond what is held. */
    public long passedOver() {
        return passedOver;
    }
}
