package peppergauge.forecast.sample;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import peppergauge.forecast.KeyReport;

/**
 * Counts the sessions of sampled keys at one daemon, in memory that is fixed from the start. A key is sampled if its
 * hash is below a threshold, so that all daemons sample the same ones; when the table is full, the threshold falls
 * until an eighth is free, and what lies above is dropped. This is SHARDS with a fixed size (Waldspurger, Park,
 * Garthwaite and Ahmad, FAST 2015). Not for several threads.
 */
public final class KeySampler {

    /** Entries of a key's histogram of gaps; the last also counts all that is longer, over 131 s. */
    public static final int GAPS = 18;
    /** All keys sampled: the greatest number, taken as unsigned. */
    public static final long ALL = -1;

    /** Stations told apart; sessions of further ones count as of the station with the empty name. */
    private static final int MOST_STATIONS = 512;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final long[] hashes;
    private final long[] lastMs;
    private final int[] stations;
    private final int[] counts;
    private final int[] gaps;
    /** Open addressing: one more than the entry's place, 0 for free. */
    private final int[] index;

    private final HeavyKeys heavy = new HeavyKeys();
    private final List<String> names = new ArrayList<>(List.of(""));
    private long threshold;
    private long sessions;
    private int size;

    /** @param mostKeys in the table, from 16 */
    public KeySampler(int mostKeys) {
        this(mostKeys, 1);
    }

    /** @param share of all keys that is sampled at most, over 0 to 1 */
    public KeySampler(int mostKeys, double share) {
        if (mostKeys < 16 || !(share > 0 && share <= 1)) {
            throw new IllegalArgumentException("from 16 keys and a share from 0 to 1, not " + mostKeys + ", " + share);
        }
        hashes = new long[mostKeys];
        lastMs = new long[mostKeys];
        stations = new int[mostKeys];
        counts = new int[mostKeys];
        gaps = new int[mostKeys * GAPS];
        index = new int[Integer.highestOneBit(mostKeys) * 4];
        threshold = threshold(share);
    }

    /** The threshold under which this share of all hashes lies. */
    public static long threshold(double share) {
        return share >= 1 ? ALL : (long) (share * 0x1p63) << 1;
    }

    /** The share of all hashes that lies under a threshold. */
    public static double share(long threshold) {
        return (threshold >>> 1) * 0x1p-63;
    }

    /** The same for all daemons. */
    public static long hash(String key) {
        return HASH.hashChars(key);
    }

    /** Bytes that so many keys take at most, the heavy ones beside them counted, names of stations not. */
    public static long bytes(int mostKeys) {
        return mostKeys * (8L + 8 + 4 + 4 + 4 * GAPS) + 4L * 4 * Integer.highestOneBit(mostKeys) + HeavyKeys.bytes();
    }

    /** A session came; null and the empty key are none. */
    public void seen(String key, String station, long nowMs) {
        if (key == null || key.isEmpty()) {
            return;
        }
        sessions++;
        long hash = hash(key);
        int number = number(station);
        heavy.seen(hash, number);
        if (samples(hash)) {
            count(hash, number, nowMs);
        }
    }

    /** Whether sessions of a key with this hash are counted. */
    public boolean samples(long hash) {
        return Long.compareUnsigned(hash, threshold) < 0;
    }

    private int number(String station) {
        int number = names.indexOf(station);
        if (number < 0 && names.size() < MOST_STATIONS && station != null) {
            names.add(station);
            number = names.size() - 1;
        }
        return Math.max(0, number);
    }

    private void count(long hash, int station, long nowMs) {
        int at = place(hash, station);
        int entry = index[at] - 1;
        if (entry < 0) {
            if (size == hashes.length) {
                lower();
                if (samples(hash)) {
                    count(hash, station, nowMs);
                }
                return;
            }
            entry = size++;
            index[at] = size;
            hashes[entry] = hash;
            stations[entry] = station;
        } else {
            int bucket = 63 - Long.numberOfLeadingZeros(Math.max(1, nowMs - lastMs[entry]));
            gaps[entry * GAPS + Math.min(GAPS - 1, bucket)]++;
        }
        counts[entry]++;
        lastMs[entry] = nowMs;
    }

    /** Where this key of this station stands, or where it would; few keys are of more than one station. */
    private int place(long hash, int station) {
        int mask = index.length - 1;
        int at = (int) (hash ^ hash >>> 32) & mask;
        while (index[at] != 0 && (hashes[index[at] - 1] != hash || stations[index[at] - 1] != station)) {
            at = at + 1 & mask;
        }
        return at;
    }

    /** Drops the eighth with the greatest hashes, and at least one key. */
    private void lower() {
        long before = threshold;
        long[] sorted = new long[size];
        for (int i = 0; i < size; i++) {
            sorted[i] = hashes[i] ^ Long.MIN_VALUE;
        }
        Arrays.sort(sorted);
        threshold = sorted[size - size / 8 - 1] ^ Long.MIN_VALUE;
        Arrays.fill(index, 0);
        int kept = 0;
        for (int i = 0; i < size; i++) {
            if (Long.compareUnsigned(hashes[i], threshold) < 0) {
                move(i, kept++);
            }
        }
        Arrays.fill(counts, kept, size, 0);
        Arrays.fill(gaps, kept * GAPS, size * GAPS, 0);
        size = kept;
        assert Long.compareUnsigned(threshold, before) < 0 && size < hashes.length
                : "the threshold did not fall from " + Long.toUnsignedString(before) + ", " + size + " keys are left";
    }

    private void move(int from, int to) {
        hashes[to] = hashes[from];
        lastMs[to] = lastMs[from];
        stations[to] = stations[from];
        counts[to] = counts[from];
        System.arraycopy(gaps, from * GAPS, gaps, to * GAPS, GAPS);
        index[place(hashes[to], stations[to])] = to + 1;
    }

    /** What was counted since the start. */
    public KeyReport report() {
        List<KeyReport.Key> keys = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            List<Long> told = new ArrayList<>(GAPS);
            for (int j = i * GAPS; j < (i + 1) * GAPS; j++) {
                told.add((long) gaps[j]);
            }
            keys.add(new KeyReport.Key(hashes[i], names.get(stations[i]), counts[i], told));
        }
        // Where all are sampled, their counts are told already, and exactly.
        return new KeyReport(threshold, sessions, keys, threshold == ALL ? null : heavy.report(names));
    }
}
