package peppergauge.forecast.observation;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.forecast.cache.ServiceTimes.Sum;

/** Counts response times at one daemon, in bounded memory. Not thread-safe. */
public final class ResponseTimeCounter {

    /** Maximum number of keys that are reported individually: those with the lowest hashes, the same at all daemons. */
    public static final int MAX_KEYS = 512;
    /** Gap from which on a repeated key is a sure hit; after a shorter one the first request may be in flight. */
    static final int NEAR_MIN_GAP_MS = 250;

    static final int NEAR_MAX_GAP_MS = 1_000;
    /** Number of responses from which on a mean is used. */
    private static final int MIN_RESPONSES = 16;

    /** Number of responses over which a mean extends, so that it changes more slowly than the hit rate. */
    private static final double MEAN_RESPONSES = 1_024;

    private static final int MAX_MEANS = 1_024;
    /** Limit of a relative response time, so that one stalled response does not outweigh all others. */
    private static final double MAX_RELATIVE_TIME = 5;

    private final Map<MeanKey, RunningMean> means = new HashMap<>();
    private final RunningSum all = new RunningSum();
    private final RunningSum near = new RunningSum();
    private final TreeMap<Long, RunningSum> keys = new TreeMap<>(Long::compareUnsigned);
    private long threshold = -1;

    private record MeanKey(int kind, int requestClass) {}

    private static final class RunningMean {
        private double meanMs;
        private int count;
    }

    private static final class RunningSum {
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
     * Counts a successful response.
     *
     * @param sampled whether the key is sampled; if not, it and keys with greater hashes are no longer reported
     *     individually
     * @param kind kind of the server
     * @param gapMs time since this sidecar sent the same key to the same server; NaN or infinite if unknown
     */
    public void onResponse(long hash, boolean sampled, int kind, int requestClass, double gapMs, double latencyMs) {
        if (!sampled && Long.compareUnsigned(hash, threshold) < 0) {
            lowerThreshold(hash);
        }
        if (means.size() >= MAX_MEANS) {
            means.clear();
        }
        RunningMean mean = means.computeIfAbsent(new MeanKey(kind, requestClass), key -> new RunningMean());
        if (mean.count >= MIN_RESPONSES) {
            count(hash, gapMs, Math.min(MAX_RELATIVE_TIME, latencyMs / mean.meanMs));
        }
        mean.count++;
        mean.meanMs += (latencyMs - mean.meanMs) / Math.min(MEAN_RESPONSES, mean.count);
    }

    private void count(long hash, double gapMs, double relative) {
        all.add(relative);
        if (gapMs >= NEAR_MIN_GAP_MS && gapMs < NEAR_MAX_GAP_MS) {
            near.add(relative);
        }
        if (Long.compareUnsigned(hash, threshold) < 0) {
            keys.computeIfAbsent(hash, key -> new RunningSum()).add(relative);
            if (keys.size() > MAX_KEYS) {
                lowerThreshold(keys.lastKey());
            }
        }
    }

    private void lowerThreshold(long hash) {
        threshold = hash;
        keys.tailMap(hash, true).clear();
    }

    /** Returns a copy of all counts since the start. */
    public ResponseTimes snapshot() {
        Map<Long, Sum> copy = new HashMap<>();
        keys.forEach((hash, sum) -> copy.put(hash, sum.copy()));
        return new ResponseTimes(threshold, all.copy(), near.copy(), copy);
    }
}
