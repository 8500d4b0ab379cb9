package peppergauge.forecast.popularity;

import java.util.List;

/**
 * What all daemons together counted in one span of time.
 *
 * @param share of all keys that was sampled, over 0 to 1
 * @param sessions with a key, sampled or not
 * @param spanMs in which they came, over 0
 * @param keys the sampled ones that came in it
 */
public record Popularity(double share, long sessions, double spanMs, List<KeyCount> keys) {

    /** @param count sessions with it in the span, from 1 */
    public record KeyCount(long hash, String station, long count) { }

    public Popularity {
        if (!(share > 0 && share <= 1) || !(spanMs > 0) || sessions < 0) {
            throw new IllegalArgumentException("share " + share + ", span " + spanMs + " ms, sessions " + sessions);
        }
        keys = List.copyOf(keys);
    }

    /** Sampled sessions. */
    public long sampled() {
        return keys.stream().mapToLong(KeyCount::count).sum();
    }
}
