package peppergauge.forecast;

import java.util.List;

/**
 * Report of one daemon's sampled keys. Cumulative since its start, so lost, repeated or late reports are harmless. Sent
 * and stored as JSON under these names.
 *
 * @param threshold keys whose 64-bit hash, as unsigned, is below it are sampled; all daemons use the same hash
 * @param sessions number of requests with a key, sampled or not
 * @param keys sampled keys, at most as many as the sampler's memory holds
 * @param heavy most frequent keys, sampled or not; null from a daemon that samples all keys, or of an older release
 */
public record KeyReport(long threshold, long sessions, List<Key> keys, Heavy heavy) {

    /** Creates a report without frequent keys. */
    public KeyReport(long threshold, long sessions, List<Key> keys) {
        this(threshold, sessions, keys, null);
    }

    /**
     * One sampled key at one daemon.
     *
     * @param hash hash of the key, the same at all daemons; the key itself is never sent
     * @param station tenant of its requests
     * @param count number of its requests
     * @param gaps requests by the time since the one before: entry i counts those of 2^i up to 2^(i+1) ms
     */
    public record Key(long hash, String station, long count, List<Long> gaps) {
        public Key {
            gaps = List.copyOf(gaps);
        }
    }

    /**
     * Counts of a sketch of frequent items.
     *
     * @param error largest amount by which a count is too high; a count is never too low
     * @param floor largest count of a key that is not reported, at least the error
     */
    public record Heavy(long error, long floor, List<Count> keys) {

        /**
         * Count of one key.
         *
         * @param hash hash of the key without its lowest bits: {@link peppergauge.forecast.sample.FrequentKeys#masked}
         * @param station tenant of its requests
         */
        public record Count(long hash, String station, long count) {}

        public Heavy {
            keys = List.copyOf(keys);
        }
    }

    public KeyReport {
        keys = List.copyOf(keys);
    }
}
