package peppergauge.forecast.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one daemon saw of service times at servers of one kind, for sampled keys: by gap, which is how long ago this
 * sidecar last sent the same key to the same server; and by key where it sent none there for {@value #FRESH_MS} ms.
 * Relative: service time without waiting, over the server's usual one.
 */
public final class ServiceTimes {

    /** Gaps from 250 ms in steps of an eighth of a doubling; shorter ones tell nothing. */
    public static final int BUCKETS = 56;
    /** Longest gap told. */
    public static final int FRESH_MS = 32_000;

    static final int OF_OCTAVE = 8;
    private static final double FROM_MS = 250;

    private final int mostKeys;
    private final long[] counts = new long[BUCKETS];
    private final double[] sums = new double[BUCKETS];
    private final double[] squares = new double[BUCKETS];
    private final Map<Long, Sum> fresh = new HashMap<>();

    /** Answers, the sum of their relative service times and that of the squares. */
    public record Sum(long count, double sum, double squares) {
        static final Sum NONE = new Sum(0, 0, 0);

        Sum plus(Sum other) {
            return new Sum(count + other.count, sum + other.sum, squares + other.squares);
        }
    }

    /**
     * All that was seen since the start, as reported.
     *
     * @param gaps by bucket
     * @param fresh by hash of the key
     */
    public record Seen(List<Sum> gaps, Map<Long, Sum> fresh) {}

    /** @param mostKeys told apart where nothing was sent before; those that come later count nowhere */
    public ServiceTimes(int mostKeys) {
        this.mostKeys = mostKeys;
    }

    static double edgeMs(int bucket) {
        return FROM_MS * Math.pow(2, (double) bucket / OF_OCTAVE);
    }

    /**
     * An answer came.
     *
     * @param hash of a sampled key
     * @param gapMs infinite if nothing was sent there before
     */
    public void answered(long hash, double gapMs, double relative) {
        if (gapMs >= FRESH_MS) {
            if (fresh.size() < mostKeys || fresh.containsKey(hash)) {
                fresh.merge(hash, new Sum(1, relative, relative * relative), Sum::plus);
            }
            assert fresh.size() <= mostKeys : fresh.size() + " keys are told apart";
            return;
        }
        int bucket = (int) Math.floor(Math.log(gapMs / FROM_MS) / Math.log(2) * OF_OCTAVE);
        if (bucket >= 0 && bucket < BUCKETS) {
            counts[bucket]++;
            sums[bucket] += relative;
            squares[bucket] += relative * relative;
        }
    }

    public Seen seen() {
        List<Sum> gaps = new ArrayList<>();
        for (int i = 0; i < BUCKETS; i++) {
            gaps.add(new Sum(counts[i], sums[i], squares[i]));
        }
        return new Seen(gaps, Map.copyOf(fresh));
    }

    /** What several daemons saw, together. */
    public static Seen together(List<Seen> all) {
        List<Sum> gaps = new ArrayList<>();
        Map<Long, Sum> fresh = new HashMap<>();
        for (int i = 0; i < BUCKETS; i++) {
            int bucket = i;
            gaps.add(all.stream().map(seen -> seen.gaps().get(bucket)).reduce(Sum.NONE, Sum::plus));
        }
        all.forEach(seen -> seen.fresh().forEach((hash, sum) -> fresh.merge(hash, sum, Sum::plus)));
        return new Seen(gaps, fresh);
    }
}
