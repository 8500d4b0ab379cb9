package peppergauge.forecast;

import java.util.List;

/**
 * What one daemon counted of the keys that it sampled, since it started. Cumulative, so that a report that is lost,
 * repeated or late does no harm.
 *
 * @param threshold keys whose 64-bit hash, taken as unsigned, is below it are sampled; the same hash for all daemons
 * @param sessions all sessions with a key, sampled or not
 * @param keys those sampled, at most as many as the sampler's fixed memory holds
 * @param heavy the keys that came most often, sampled or not; null from a daemon that samples all keys, or of a
 *     release that did not tell
 */
public record KeyReport(long threshold, long sessions, List<Key> keys, Heavy heavy) {

    /** Without the heavy ones. */
    public KeyReport(long threshold, long sessions, List<Key> keys) {
        this(threshold, sessions, keys, null);
    }

    /**
     * One sampled key at one daemon.
     *
     * @param hash the same at all daemons; the key itself is never told
     * @param station whose sessions it came with
     * @param count sessions with it
     * @param gaps sessions by the time since the one before here: entry i counts those of 2^i up to 2^(i+1) ms
     */
    public record Key(long hash, String station, long count, List<Long> gaps) {
        public Key {
            gaps = List.copyOf(gaps);
        }
    }

    /**
     * What a sketch of frequent items knows.
     *
     * @param error by how much a count may be too high; never too low
     * @param floor no key left out came more often, from error
     */
    public record Heavy(long error, long floor, List<Count> keys) {

        /** @param hash without its lowest bits: {@link peppergauge.forecast.sample.HeavyKeys#masked} */
        public record Count(long hash, String station, long count) {}

        public Heavy {
            keys = List.copyOf(keys);
        }
    }

    public KeyReport {
        keys = List.copyOf(keys);
    }
}
