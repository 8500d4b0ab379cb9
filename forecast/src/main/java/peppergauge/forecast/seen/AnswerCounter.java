package peppergauge.forecast.seen;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.forecast.memory.ServiceTimes.Sum;

/** Counts answers at one daemon, in bounded memory; one thread's. */
public final class AnswerCounter {

    /** Those of the lowest hashes: the same at all daemons, for a popular key must not be taken for a rare one. */
    public static final int MOST_KEYS = 512;
    /** A memory that does not hold a key for so long is of no use; shorter gaps may still be under way. */
    static final int NEAR_FROM_MS = 250;

    static final int NEAR_MS = 1_000;
    /** Answers until a usual time is one, and over which it is a mean: so slow that a change of hits shows. */
    private static final int LEAST_USUAL = 16;

    private static final double USUAL_OVER = 1_024;
    private static final int MOST_USUAL = 1_024;
    /** One answer that stood still for long must not outweigh all others. */
    private static final double MOST_RELATIVE = 5;

    private final Map<Usually, Usual> usual = new HashMap<>();
    private final Running all = new Running();
    private final Running near = new Running();
    private final TreeMap<Long, Running> keys = new TreeMap<>(Long::compareUnsigned);
    private long threshold = -1;

    private record Usually(int kind, int requestClass) {}

    private static final class Usual {
        private double meanMs;
        private int count;
    }

    private static final class Running {
        private long count;
        private double sum;
        private double squares;

        private void add(double relative) {
            count++;
            sum += relative;
            squares += relative * relative;
        }

        private Sum copy() {
            return new Sum(count, sum, squares);
        }
    }

    /**
     * An answer came in good order.
     *
     * @param sampled if not, its key and those of greater hashes are not told one by one any more
     * @param kind of server, whose usual time it is held against
     * @param gapMs since the same key went to the same server from here; NaN or infinite where that is not known
     */
    public void answered(long hash, boolean sampled, int kind, int requestClass, double gapMs, double tookMs) {
        if (!sampled && Long.compareUnsigned(hash, threshold) < 0) {
            lower(hash);
        }
        if (usual.size() >= MOST_USUAL) {
            usual.clear();
        }
        Usual own = usual.computeIfAbsent(new Usually(kind, requestClass), key -> new Usual());
        if (own.count >= LEAST_USUAL) {
            count(hash, gapMs, Math.min(MOST_RELATIVE, tookMs / own.meanMs));
        }
        own.count++;
        own.meanMs += (tookMs - own.meanMs) / Math.min(USUAL_OVER, own.count);
    }

    private void count(long hash, double gapMs, double relative) {
        all.add(relative);
        if (gapMs >= NEAR_FROM_MS && gapMs < NEAR_MS) {
            near.add(relative);
        }
        if (Long.compareUnsigned(hash, threshold) < 0) {
            keys.computeIfAbsent(hash, key -> new Running()).add(relative);
            if (keys.size() > MOST_KEYS) {
                lower(keys.lastKey());
            }
        }
    }

    private void lower(long hash) {
        threshold = hash;
        keys.tailMap(hash, true).clear();
    }

    /** A copy, as counted since the start. */
    public AnswerLevels levels() {
        Map<Long, Sum> copy = new HashMap<>();
        keys.forEach((hash, own) -> copy.put(hash, own.copy()));
        return new AnswerLevels(threshold, all.copy(), near.copy(), copy);
    }
}
