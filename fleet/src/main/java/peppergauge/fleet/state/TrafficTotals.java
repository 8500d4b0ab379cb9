package peppergauge.fleet.state;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.TrafficCounts;
import peppergauge.promises.TrafficKey;

/**
 * Cluster-wide totals by traffic key since this instance began to count. The growth of each report is added, so totals
 * never fall when daemons restart or are removed. Not thread-safe.
 */
public final class TrafficTotals {

    /**
     * Total of one key.
     *
     * @param latency latencies in ms; not to be changed by the caller
     */
    public record Total(long answered, long rejected, long failed, Histogram latency) {

        /** Returns the number of requests answered within a time, ms. */
        public long answeredWithin(long ms) {
            return latency.getCountBetweenValues(0, Math.min(ms, LatencyHistograms.MAX_LATENCY_MS));
        }
    }

    private static final class RunningTotal {

        /** Limit of each total in case daemons send wrong counts; the sum of a few totals still fits a long. */
        private static final long MAX_COUNT = 1L << 60;

        private long answered;
        private long rejected;
        private long failed;
        private final Histogram latency;

        RunningTotal(Total before) {
            answered = before == null ? 0 : before.answered();
            rejected = before == null ? 0 : before.rejected();
            failed = before == null ? 0 : before.failed();
            latency = before == null
                    ? LatencyHistograms.empty()
                    : before.latency().copy();
        }

        void add(TrafficCounts before, TrafficCounts now) {
            long formerly = answered + rejected + failed;
            answered = Math.min(MAX_COUNT, answered + growth(before == null ? 0 : before.answered(), now.answered()));
            rejected = Math.min(MAX_COUNT, rejected + growth(before == null ? 0 : before.rejected(), now.rejected()));
            failed = Math.min(MAX_COUNT, failed + growth(before == null ? 0 : before.failed(), now.failed()));
            assert formerly >= 0 && formerly <= answered + rejected + failed
                    : "expected totals not to fall from " + formerly + ", got " + answered + ", " + rejected + ", "
                            + failed;
            if (now.latency() != null && (before == null || !now.latency().equals(before.latency()))) {
                addLatencies(before, now);
            }
        }

        private void addLatencies(TrafficCounts before, TrafficCounts now) {
            try {
                Histogram growth = LatencyHistograms.decode(now.latency());
                if (before != null && before.latency() != null) {
                    growth.subtract(LatencyHistograms.decode(before.latency()));
                }
                long counted = latency.getTotalCount();
                if (growth.getTotalCount() <= MAX_COUNT - counted) {
                    latency.add(growth);
                }
                assert latency.getTotalCount() >= counted
                        : "expected the number of latencies not to fall from " + counted;
            } catch (RuntimeException notCumulative) {
                // The histogram of a faulty daemon is malformed or not cumulative, and is not counted.
            }
        }

        private static long growth(long before, long now) {
            return Math.max(0, now - before);
        }

        Total total() {
            return new Total(answered, rejected, failed, latency.copy());
        }
    }

    private final Map<TrafficKey, RunningTotal> totals = new HashMap<>();
    private final int maxKeys;
    private long droppedCounts;

    /** Starts with no totals. */
    public TrafficTotals(int maxKeys) {
        this(maxKeys, Map.of());
    }

    /** Continues from stored totals. */
    public TrafficTotals(int maxKeys, Map<TrafficKey, Total> before) {
        this.maxKeys = maxKeys;
        before.forEach((key, total) -> totals.put(key, new RunningTotal(total)));
    }

    static TrafficKey keyOf(TrafficCounts counts) {
        return new TrafficKey(counts.tenant(), counts.requestClass(), counts.zone());
    }

    /**
     * Adds the growth of a report. The first report of a daemon that started longer ago than reports are retained adds
     * nothing, since it may have been counted and removed before.
     */
    public void count(ReportStore.Change change, long nowMs, long retentionMs) {
        DaemonReport now = change.now();
        if (change.before() == null && nowMs - now.incarnation() > retentionMs) {
            return;
        }
        Map<TrafficKey, TrafficCounts> before = new HashMap<>();
        if (change.before() != null) {
            change.before().counts().forEach(counts -> before.put(keyOf(counts), counts));
        }
        for (TrafficCounts counts : now.counts()) {
            TrafficKey key = keyOf(counts);
            if (!counts.equals(before.get(key))) {
                add(key, before.get(key), counts);
            }
        }
    }

    private void add(TrafficKey key, TrafficCounts before, TrafficCounts now) {
        if (totals.containsKey(key) || totals.size() < maxKeys) {
            totals.computeIfAbsent(key, fresh -> new RunningTotal(null)).add(before, now);
        } else {
            droppedCounts++;
        }
        assert totals.containsKey(key) || totals.size() >= maxKeys : "dropped a key below the limit of keys: " + key;
    }

    /** Returns a copy of all totals. */
    public Map<TrafficKey, Total> totals() {
        Map<TrafficKey, Total> copy = new HashMap<>();
        totals.forEach((key, total) -> copy.put(key, total.total()));
        return copy;
    }

    /** Returns the number of counts that were dropped because there were too many keys. */
    public long droppedCounts() {
        return droppedCounts;
    }
}
