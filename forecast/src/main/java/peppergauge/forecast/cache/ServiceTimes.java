package peppergauge.forecast.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Service times that one daemon observed at servers of one kind, for sampled keys: by the gap since this sidecar last
 * sent the same key to the same server, and by key if it sent none there for {@value #MAX_GAP_MS} ms. Relative: the
 * latency that the daemon observed, including queueing and network, over the server's mean. Not thread-safe.
 */
public final class ServiceTimes {

    /** Number of buckets of gaps, from 250 ms in steps of an eighth of a doubling. */
    public static final int BUCKETS = 56;
    /** Longest gap, ms. */
    public static final int MAX_GAP_MS = 32_000;

    static final int BUCKETS_PER_DOUBLING = 8;
    private static final double MIN_GAP_MS = 250;

    private final int maxKeys;
    private final long[] counts = new long[BUCKETS];
    private final double[] sums = new double[BUCKETS];
    private final double[] squares = new double[BUCKETS];
    private final Map<Long, Sum> fresh = new HashMap<>();

    /** Number of responses, sum of their relative service times, and sum of the squares. In JSON under these names. */
    public record Sum(long count, double sum, double squares) {
        static final Sum ZERO = new Sum(0, 0, 0);

        Sum plus(Sum other) {
            return new Sum(count + other.count, sum + other.sum, squares + other.squares);
        }
    }

    /**
     * All service times since the start, as reported. In JSON under these names.
     *
     * @param gaps by bucket
     * @param fresh by hash of the key, of responses without a gap
     */
    public record Snapshot(List<Sum> gaps, Map<Long, Sum> fresh) {}

    /** @param maxKeys maximum number of keys with responses without a gap; further keys are not counted */
    public ServiceTimes(int maxKeys) {
        this.maxKeys = maxKeys;
    }

    static double edgeMs(int bucket) {
        return MIN_GAP_MS * StrictMath.pow(2, (double) bucket / BUCKETS_PER_DOUBLING);
    }

    /**
     * Counts a response.
     *
     * @param hash hash of a sampled key
     * @param gapMs time since this sidecar sent the key to the same server; infinite if it never did
     * @param relative service time over the server's mean
     */
    public void onResponse(long hash, double gapMs, double relative) {
        if (gapMs >= MAX_GAP_MS) {
            if (fresh.size() < maxKeys || fresh.containsKey(hash)) {
                fresh.merge(hash, new Sum(1, relative, relative * relative), Sum::plus);
            }
            assert fresh.size() <= maxKeys
                    : "expected at most " + maxKeys + " keys without a gap but was " + fresh.size();
            return;
        }
        int bucket = (int) Math.floor(StrictMath.log(gapMs / MIN_GAP_MS) / StrictMath.log(2) * BUCKETS_PER_DOUBLING);
        if (bucket >= 0 && bucket < BUCKETS) {
            counts[bucket]++;
            sums[bucket] += relative;
            squares[bucket] += relative * relative;
        }
    }

    /** Returns a copy of all service times. */
    public Snapshot snapshot() {
        List<Sum> gaps = new ArrayList<>();
        for (int i = 0; i < BUCKETS; i++) {
            gaps.add(new Sum(counts[i], sums[i], squares[i]));
        }
        return new Snapshot(gaps, Map.copyOf(fresh));
    }

    /** Returns the sum of several daemons' service times. */
    public static Snapshot merge(List<Snapshot> all) {
        List<Sum> gaps = new ArrayList<>();
        Map<Long, Sum> fresh = new HashMap<>();
        for (int i = 0; i < BUCKETS; i++) {
            int bucket = i;
            gaps.add(all.stream().map(snapshot -> snapshot.gaps().get(bucket)).reduce(Sum.ZERO, Sum::plus));
        }
        all.forEach(snapshot -> snapshot.fresh().forEach((hash, sum) -> fresh.merge(hash, sum, Sum::plus)));
        return new Snapshot(gaps, fresh);
    }
}
