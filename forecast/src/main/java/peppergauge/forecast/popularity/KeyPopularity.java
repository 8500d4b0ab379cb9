package peppergauge.forecast.popularity;

import java.util.List;
import peppergauge.forecast.sample.FrequentKeys;

/**
 * Counts of keys over all daemons in one span of time.
 *
 * @param share share of all keys that is sampled, above 0 and at most 1
 * @param requests number of requests with a key, sampled or not
 * @param spanMs length of the span, ms
 * @param keys sampled keys with requests in the span
 * @param frequentKeys most frequent keys, sampled or not, by {@link FrequentKeys#masked} hash, descending; complete
 *     down to the last one as far as is known; empty if unknown
 */
public record KeyPopularity(
        double share, long requests, double spanMs, List<KeyCount> keys, List<KeyCount> frequentKeys) {

    /**
     * Count of one key.
     *
     * @param count number of its requests in the span, 1 or more
     */
    public record KeyCount(long hash, String tenant, long count) {}

    /** Creates counts without frequent keys. */
    public KeyPopularity(double share, long requests, double spanMs, List<KeyCount> keys) {
        this(share, requests, spanMs, keys, List.of());
    }

    public KeyPopularity {
        if (!(share > 0 && share <= 1) || !(spanMs > 0) || requests < 0) {
            throw new IllegalArgumentException("expected a share above 0 up to 1, a span above 0 and 0 or more requests"
                    + " but was share=" + share + ", spanMs=" + spanMs + ", requests=" + requests);
        }
        keys = List.copyOf(keys);
        frequentKeys = List.copyOf(frequentKeys);
    }

    /** Returns the number of sampled requests. */
    public long sampledRequests() {
        return keys.stream().mapToLong(KeyCount::count).sum();
    }
}
