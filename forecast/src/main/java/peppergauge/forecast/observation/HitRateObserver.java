package peppergauge.forecast.observation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.forecast.cache.ServiceTimes.Sum;
import peppergauge.forecast.observation.HitRateEstimator.Key;
import peppergauge.forecast.observation.HitRateEstimator.Total;
import peppergauge.forecast.observation.ObservedHitRate.Missing;

/**
 * Turns daemons' cumulative response times into time slices, and estimates the hit rate of any window of the last
 * {@value #RETENTION_MS} ms. Not thread-safe.
 */
public final class HitRateObserver {

    /** Time for which slices are retained. */
    public static final long RETENTION_MS = 420_000;

    private static final long SLICE_MS = 5_000;
    /** Time over which the frequency of keys is counted, up to the end of the window. */
    private static final long FREQUENCY_WINDOW_MS = 240_000;
    /** Longest time between two reports of a daemon whose difference is used. */
    private static final long MAX_REPORT_GAP_MS = 60_000;
    /** Maximum number of keys of a slice; the keys of daemons differ if their thresholds do. */
    private static final int MAX_KEYS = 2 * ResponseTimeCounter.MAX_KEYS;

    private final Map<String, LastReport> lastReports = new HashMap<>();
    private final TreeMap<Long, Slice> slices = new TreeMap<>();

    private record LastReport(long incarnation, long sentMs, ResponseTimes cumulative) {}

    private static final class Slice {
        private final Total all = new Total();
        private final Total near = new Total();
        private final Map<Long, Total> keys = new HashMap<>();
        private long threshold = -1;
        /** Sum over responses of the time between the two reports that contain them, ms. */
        private double weightedGapMs;

        private void add(Slice other, double part) {
            all.add(other.all, part);
            near.add(other.near, part);
            other.keys.forEach((hash, total) -> {
                if (keys.size() < MAX_KEYS || keys.containsKey(hash)) {
                    keys.computeIfAbsent(hash, key -> new Total()).add(total, part);
                }
            });
            threshold = Long.compareUnsigned(other.threshold, threshold) < 0 ? other.threshold : threshold;
            weightedGapMs += other.weightedGapMs * part;
        }
    }

    /**
     * Accepts a report. Reports older than the last one are ignored. The first one of an incarnation counts nothing by
     * itself: it is the start of the next difference.
     */
    public void accept(String daemon, long incarnation, long sentMs, ResponseTimes cumulative) {
        LastReport before = lastReports.get(daemon);
        if (before != null
                && (incarnation < before.incarnation()
                        || incarnation == before.incarnation() && sentMs <= before.sentMs())) {
            return;
        }
        lastReports.put(daemon, new LastReport(incarnation, sentMs, cumulative));
        if (before != null && before.incarnation() == incarnation && sentMs - before.sentMs() <= MAX_REPORT_GAP_MS) {
            spread(before.sentMs(), sentMs, difference(before.cumulative(), cumulative, sentMs - before.sentMs()));
        }
        lastReports.values().removeIf(last -> sentMs - last.sentMs() > RETENTION_MS);
        slices.headMap(sentMs / SLICE_MS - RETENTION_MS / SLICE_MS).clear();
    }

    private static Slice difference(ResponseTimes from, ResponseTimes to, long apartMs) {
        Slice difference = new Slice();
        add(difference.all, from.all(), to.all());
        add(difference.near, from.near(), to.near());
        to.keys().forEach((hash, sum) -> {
            Sum before = from.keys().getOrDefault(hash, new Sum(0, 0, 0));
            if (sum.count() > before.count()) {
                add(difference.keys.computeIfAbsent(hash, key -> new Total()), before, sum);
            }
        });
        difference.threshold = to.threshold();
        difference.weightedGapMs = difference.all.count * apartMs;
        return difference;
    }

    /** Adds the growth of a sum; a sum that fell is ignored. */
    private static void add(Total total, Sum from, Sum to) {
        if (to.count() >= from.count() && to.sum() >= from.sum() && to.squares() >= from.squares()) {
            total.count += to.count() - from.count();
            total.sum += to.sum() - from.sum();
            total.squares += to.squares() - from.squares();
        }
    }

    /** Spreads responses evenly over the time between two reports. */
    private void spread(long fromMs, long toMs, Slice growth) {
        for (long at = fromMs / SLICE_MS; at * SLICE_MS < toMs; at++) {
            slices.computeIfAbsent(at, key -> new Slice())
                    .add(growth, (double) overlap(at, fromMs, toMs) / (toMs - fromMs));
        }
    }

    private static long overlap(long slice, long fromMs, long toMs) {
        return Math.min(toMs, (slice + 1) * SLICE_MS) - Math.max(fromMs, slice * SLICE_MS);
    }

    private Slice sum(long fromMs, long toMs) {
        Slice sum = new Slice();
        slices.subMap(fromMs / SLICE_MS, true, (toMs - 1) / SLICE_MS, true)
                .forEach((at, slice) -> sum.add(slice, (double) overlap(at, fromMs, toMs) / SLICE_MS));
        return sum;
    }

    /**
     * Returns the fleet's hit rate in a time, Unix ms.
     *
     * @param servers number of servers of the fleet, taken as equal
     */
    public ObservedHitRate between(long fromMs, long toMs, int servers) {
        if (fromMs >= toMs) {
            return ObservedHitRate.unknown(Missing.ANSWERS);
        }
        Slice window = sum(fromMs, toMs);
        if (window.weightedGapMs > window.all.count * (toMs - fromMs) / 3.0) {
            return ObservedHitRate.unknown(Missing.CLOSE_REPORTS);
        }
        long frequencyFromMs =
                Math.max(toMs - FREQUENCY_WINDOW_MS, slices.isEmpty() ? 0 : slices.firstKey() * SLICE_MS);
        Slice frequencies = sum(frequencyFromMs, toMs);
        List<Key> keys = new ArrayList<>();
        window.keys.forEach((hash, total) -> {
            Total inFrequencyWindow = frequencies.keys.get(hash);
            if (inFrequencyWindow != null && Long.compareUnsigned(hash, frequencies.threshold) < 0) {
                double perServer = inFrequencyWindow.count / servers;
                keys.add(new Key(perServer * HitRateEstimator.MAX_RETENTION_MS / (toMs - frequencyFromMs), total));
            }
        });
        return HitRateEstimator.estimate(window.all, window.near, keys);
    }
}
