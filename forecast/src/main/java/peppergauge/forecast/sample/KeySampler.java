package peppergauge.forecast.sample;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import peppergauge.forecast.KeyReport;

/**
 * Counts the requests of sampled keys at one daemon, in fixed memory. A key is sampled if its hash is below a
 * threshold, so that all daemons sample the same keys; when the table is full the threshold falls until an eighth is
 * free. This is SHARDS with a fixed size (Waldspurger, Park, Garthwaite and Ahmad, FAST 2015). Not thread-safe.
 */
public final class KeySampler {

    /** Number of buckets of a key's histogram of gaps; the last one counts all gaps above 131 s. */
    public static final int GAPS = 18;
    /** Threshold at which all keys are sampled: the greatest unsigned number. */
    public static final long ALL = -1;

    /** Maximum number of tenants counted separately; requests of others count for the tenant with the empty name. */
    private static final int MAX_TENANTS = 512;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final long[] hashes;
    private final long[] lastMs;
    private final int[] tenants;
    private final int[] counts;
    private final int[] gaps;
    /** Hash table with open addressing: index of the entry plus one, 0 for free. */
    private final int[] index;

    private final FrequentKeys frequentKeys = new FrequentKeys();
    private final List<String> tenantNames = new ArrayList<>(List.of(""));
    private long threshold;
    private long requests;
    private int size;

    /** Creates a sampler that at first samples all keys. */
    public KeySampler(int maxKeys) {
        this(maxKeys, 1);
    }

    /**
     * Creates a sampler.
     *
     * @param maxKeys size of the table, at least 16
     * @param share share of all keys that is sampled at most, above 0 and at most 1
     */
    public KeySampler(int maxKeys, double share) {
        if (maxKeys < 16 || !(share > 0 && share <= 1)) {
            throw new IllegalArgumentException("expected at least 16 keys and a share above 0 up to 1 but was maxKeys="
                    + maxKeys + ", share=" + share);
        }
        hashes = new long[maxKeys];
        lastMs = new long[maxKeys];
        tenants = new int[maxKeys];
        counts = new int[maxKeys];
        gaps = new int[maxKeys * GAPS];
        index = new int[Integer.highestOneBit(maxKeys) * 4];
        threshold = threshold(share);
    }

    /** Returns the threshold below which a share of all hashes lies. */
    public static long threshold(double share) {
        return share >= 1 ? ALL : (long) (share * 0x1p63) << 1;
    }

    /** Returns the share of all hashes below a threshold. */
    public static double share(long threshold) {
        return (threshold >>> 1) * 0x1p-63;
    }

    /** Returns the hash of a key, the same at all daemons. */
    public static long hash(String key) {
        return HASH.hashChars(key);
    }

    /** Returns the maximum memory use for a number of keys in bytes, including frequent keys but not tenant names. */
    public static long maxBytes(int maxKeys) {
        return maxKeys * (8L + 8 + 4 + 4 + 4 * GAPS)
                + 4L * 4 * Integer.highestOneBit(maxKeys)
                + FrequentKeys.maxBytes();
    }

    /** Counts a request; null and the empty key are ignored. */
    public void onRequest(String key, String tenant, long nowMs) {
        if (key == null || key.isEmpty()) {
            return;
        }
        requests++;
        long hash = hash(key);
        int number = tenantNumber(tenant);
        frequentKeys.onRequest(hash, number);
        if (isSampled(hash)) {
            count(hash, number, nowMs);
        }
    }

    /** Returns whether a key with this hash is sampled. */
    public boolean isSampled(long hash) {
        return Long.compareUnsigned(hash, threshold) < 0;
    }

    private int tenantNumber(String tenant) {
        int number = tenantNames.indexOf(tenant);
        if (number < 0 && tenantNames.size() < MAX_TENANTS && tenant != null) {
            tenantNames.add(tenant);
            number = tenantNames.size() - 1;
        }
        return Math.max(0, number);
    }

    private void count(long hash, int tenant, long nowMs) {
        int at = indexOf(hash, tenant);
        int entry = index[at] - 1;
        if (entry < 0) {
            if (size == hashes.length) {
                lowerThreshold();
                if (isSampled(hash)) {
                    count(hash, tenant, nowMs);
                }
                return;
            }
            entry = size++;
            index[at] = size;
            hashes[entry] = hash;
            tenants[entry] = tenant;
        } else {
            int bucket = 63 - Long.numberOfLeadingZeros(Math.max(1, nowMs - lastMs[entry]));
            gaps[entry * GAPS + Math.min(GAPS - 1, bucket)]++;
        }
        counts[entry]++;
        lastMs[entry] = nowMs;
    }

    /** Returns the place in the hash table of a key of a tenant, or the free place for it. */
    private int indexOf(long hash, int tenant) {
        int mask = index.length - 1;
        int at = (int) (hash ^ hash >>> 32) & mask;
        while (index[at] != 0 && (hashes[index[at] - 1] != hash || tenants[index[at] - 1] != tenant)) {
            at = at + 1 & mask;
        }
        return at;
    }

    /** Lowers the threshold: drops the eighth with the greatest hashes, and at least one key. */
    private void lowerThreshold() {
        long before = threshold;
        long[] sorted = new long[size];
        for (int i = 0; i < size; i++) {
            sorted[i] = hashes[i] ^ Long.MIN_VALUE;
        }
        Arrays.sort(sorted);
        threshold = sorted[size - size / 8 - 1] ^ Long.MIN_VALUE;
        Arrays.fill(index, 0);
        int retained = 0;
        for (int i = 0; i < size; i++) {
            if (Long.compareUnsigned(hashes[i], threshold) < 0) {
                move(i, retained++);
            }
        }
        Arrays.fill(counts, retained, size, 0);
        Arrays.fill(gaps, retained * GAPS, size * GAPS, 0);
        size = retained;
        assert Long.compareUnsigned(threshold, before) < 0 && size < hashes.length
                : "the threshold did not fall from " + Long.toUnsignedString(before) + "; size is " + size;
    }

    private void move(int from, int to) {
        hashes[to] = hashes[from];
        lastMs[to] = lastMs[from];
        tenants[to] = tenants[from];
        counts[to] = counts[from];
        System.arraycopy(gaps, from * GAPS, gaps, to * GAPS, GAPS);
        index[indexOf(hashes[to], tenants[to])] = to + 1;
    }

    /** Returns all counts since the start. */
    public KeyReport report() {
        List<KeyReport.Key> keys = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            List<Long> histogram = new ArrayList<>(GAPS);
            for (int j = i * GAPS; j < (i + 1) * GAPS; j++) {
                histogram.add((long) gaps[j]);
            }
            keys.add(new KeyReport.Key(hashes[i], tenantNames.get(tenants[i]), counts[i], histogram));
        }
        // If all keys are sampled, the report has their exact counts.
        return new KeyReport(threshold, requests, keys, threshold == ALL ? null : frequentKeys.report(tenantNames));
    }
}
