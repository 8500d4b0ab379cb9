package peppergauge.forecast;

import java.util.List;

/**
 * What one daemon counted of the keys that it sampled, since it started. Cumulative, so that a report that is lost,
 * repeated or late does no harm.
 *
 * @param threshold keys whose 64-bit hash, taken as unsigned, is below it are sampled; the same hash for all daemons
 * @param sessions all sessions with a key, sampled or not
 * @param keys those sampled, at most as many as the sampler's fixed memory holds
 */
public record KeyReport(long threshold, long sessions, List<Key> keys) {

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

    public KeyReport {
        keys = List.copyOf(keys);
    }
}
