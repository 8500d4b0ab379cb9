package peppergauge.forecast.seen;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.forecast.memory.ServiceTimes.Sum;
import peppergauge.forecast.seen.Contrast.Key;
import peppergauge.forecast.seen.Contrast.Total;
import peppergauge.forecast.seen.Seen.Lack;

/**
 * Daemons' cumulative levels as what was answered when, and hit rates of any window of the last {@value #KEPT_MS} ms
 * from it. One thread's.
 */
public final class SeenHits {

    /** Back from the newest. */
    public static final long KEPT_MS = 420_000;

    private static final long SLICE_MS = 5_000;
    /** How often keys come is counted over so long, the window's end included. */
    private static final long OFTEN_MS = 240_000;
    /** Of reports further apart nothing is taken. */
    private static final long MOST_APART_MS = 60_000;
    /** As many as honest daemons tell, and some that differ at the threshold. */
    private static final int MOST_KEYS = 2 * AnswerCounter.MOST_KEYS;

    private final Map<String, Told> told = new HashMap<>();
    private final TreeMap<Long, Slice> slices = new TreeMap<>();

    private record Told(long incarnation, long sentMs, AnswerLevels levels) {}

    private static final class Slice {
        private final Total all = new Total();
        private final Total near = new Total();
        private final Map<Long, Total> keys = new HashMap<>();
        private long threshold = -1;
        /** Answers times how far the reports were apart that told them, ms. */
        private double apart;

        private void add(Slice other, double part) {
            all.add(other.all, part);
            near.add(other.near, part);
            other.keys.forEach((hash, total) -> {
                if (keys.size() < MOST_KEYS || keys.containsKey(hash)) {
                    keys.computeIfAbsent(hash, key -> new Total()).add(total, part);
                }
            });
            threshold = Long.compareUnsigned(other.threshold, threshold) < 0 ? other.threshold : threshold;
            apart += other.apart * part;
        }
    }

    /** Takes a report; one that is older than what is known, or the first of an incarnation, tells nothing of when. */
    public void accept(String daemon, long incarnation, long sentMs, AnswerLevels levels) {
        Told before = told.get(daemon);
        if (before != null
                && (incarnation < before.incarnation()
                        || incarnation == before.incarnation() && sentMs <= before.sentMs())) {
            return;
        }
        told.put(daemon, new Told(incarnation, sentMs, levels));
        if (before != null && before.incarnation() == incarnation && sentMs - before.sentMs() <= MOST_APART_MS) {
            spread(before.sentMs(), sentMs, difference(before.levels(), levels, sentMs - before.sentMs()));
        }
        told.values().removeIf(old -> sentMs - old.sentMs() > KEPT_MS);
        slices.headMap(sentMs / SLICE_MS - KEPT_MS / SLICE_MS).clear();
    }

    private static Slice difference(AnswerLevels from, AnswerLevels to, long apartMs) {
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
        difference.apart = difference.all.count * apartMs;
        return difference;
    }

    /** Counts of one incarnation grow; where they do not, it is no account of it. */
    private static void add(Total total, Sum from, Sum to) {
        if (to.count() >= from.count() && to.sum() >= from.sum() && to.squares() >= from.squares()) {
            total.count += to.count() - from.count();
            total.sum += to.sum() - from.sum();
            total.squares += to.squares() - from.squares();
        }
    }

    /** Evenly over the time between two reports. */
    private void spread(long fromMs, long toMs, Slice told) {
        for (long at = fromMs / SLICE_MS; at * SLICE_MS < toMs; at++) {
            slices.computeIfAbsent(at, key -> new Slice())
                    .add(told, (double) overlap(at, fromMs, toMs) / (toMs - fromMs));
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
     * The fleet's hit rate in that time, Unix ms.
     *
     * @param servers of the fleet, taken as alike
     */
    public Seen between(long fromMs, long toMs, int servers) {
        if (fromMs >= toMs) {
            return Seen.no(Lack.ANSWERS);
        }
        Slice window = sum(fromMs, toMs);
        if (window.apart > window.all.count * (toMs - fromMs) / 3.0) {
            return Seen.no(Lack.CLOSE_REPORTS);
        }
        long oftenFromMs = Math.max(toMs - OFTEN_MS, slices.isEmpty() ? 0 : slices.firstKey() * SLICE_MS);
        Slice often = sum(oftenFromMs, toMs);
        List<Key> keys = new ArrayList<>();
        window.keys.forEach((hash, total) -> {
            Total came = often.keys.get(hash);
            if (came != null && Long.compareUnsigned(hash, often.threshold) < 0) {
                keys.add(new Key(came.count / servers * Contrast.LONGEST_MS / (toMs - oftenFromMs), total));
            }
        });
        return Contrast.of(window.all, window.near, keys);
    }
}
