package peppergauge.fleet.state;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.CellCounts;
import peppergauge.promises.TrafficKey;

/**
 * What the fleet's clients saw in all, by cell, since this instance began to count: the growth of each account is
 * added, so that totals never fall when daemons die, are restarted or forgotten. Not safe for several threads.
 */
public final class Tally {

    /** @param latency answers in ms; not to be changed by who is handed it */
    public record Total(long answered, long denied, long failed, Histogram latency) {

        /** Answered within so many ms. */
        public long within(long ms) {
            return latency.getCountBetweenValues(0, Math.min(ms, Latencies.MOST_MS));
        }
    }

    /** One that grows. */
    private static final class Sum {

        /** Broken daemons may bring it there, but no further: sums of a few of them still fit. */
        private static final long MOST = 1L << 60;

        private long answered;
        private long denied;
        private long failed;
        private final Histogram latency;

        Sum(Total before) {
            answered = before == null ? 0 : before.answered();
            denied = before == null ? 0 : before.denied();
            failed = before == null ? 0 : before.failed();
            latency = before == null ? Latencies.empty() : before.latency().copy();
        }

        void add(CellCounts before, CellCounts now) {
            long formerly = answered + denied + failed;
            answered = Math.min(MOST, answered + grown(before == null ? 0 : before.answered(), now.answered()));
            denied = Math.min(MOST, denied + grown(before == null ? 0 : before.denied(), now.denied()));
            failed = Math.min(MOST, failed + grown(before == null ? 0 : before.failed(), now.failed()));
            assert formerly >= 0 && formerly <= answered + denied + failed
                    : "totals fall from " + formerly + " to " + answered + ", " + denied + ", " + failed;
            if (now.latency() == null || before != null && now.latency().equals(before.latency())) {
                return;
            }
            try {
                Histogram grown = Latencies.decode(now.latency());
                if (before != null && before.latency() != null) {
                    grown.subtract(Latencies.decode(before.latency()));
                }
                long counted = latency.getTotalCount();
                if (grown.getTotalCount() <= MOST - counted) {
                    latency.add(grown);
                }
                assert latency.getTotalCount() >= counted : "totals of answers fall from " + counted;
            } catch (RuntimeException fell) {
                // It is none, or not cumulative, so a broken daemon's: nothing of it is counted twice.
            }
        }

        private static long grown(long before, long now) {
            return Math.max(0, now - before);
        }

        Total total() {
            return new Total(answered, denied, failed, latency.copy());
        }
    }

    private final Map<TrafficKey, Sum> totals = new HashMap<>();
    private final int mostCells;
    private long passedOver;

    public Tally(int mostCells) {
        this(mostCells, Map.of());
    }

    public Tally(int mostCells, Map<TrafficKey, Total> before) {
        this.mostCells = mostCells;
        before.forEach((cell, total) -> totals.put(cell, new Sum(total)));
    }

    static TrafficKey cell(CellCounts counts) {
        return new TrafficKey(counts.station(), counts.requestClass(), counts.zone());
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
        Map<TrafficKey, CellCounts> before = new HashMap<>();
        if (change.before() != null) {
            change.before().cells().forEach(counts -> before.put(cell(counts), counts));
        }
        for (CellCounts counts : now.cells()) {
            TrafficKey cell = cell(counts);
            if (!counts.equals(before.get(cell))) {
                add(cell, before.get(cell), counts);
            }
        }
    }

    private void add(TrafficKey cell, CellCounts before, CellCounts now) {
        if (totals.containsKey(cell) || totals.size() < mostCells) {
            totals.computeIfAbsent(cell, fresh -> new Sum(null)).add(before, now);
        } else {
            passedOver++;
        }
        assert totals.containsKey(cell) || totals.size() >= mostCells : "passed over where there is room: " + cell;
    }

    /** As it is now; later counting does not change it. */
    public Map<TrafficKey, Total> totals() {
        Map<TrafficKey, Total> copy = new HashMap<>();
        totals.forEach((cell, sum) -> copy.put(cell, sum.total()));
        return copy;
    }

    /** Accounts of cells beyond what is held. */
    public long passedOver() {
        return passedOver;
    }
}
