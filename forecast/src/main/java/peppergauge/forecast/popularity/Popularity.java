package peppergauge.forecast.popularity;

import java.util.List;
import peppergauge.forecast.sample.HeavyKeys;

/**
 * What all daemons together counted in one span of time.
 *
 * @param share of all keys that was sampled, over 0 to 1
 * @param sessions with a key, sampled or not
 * @param spanMs in which they came, over 0
 * @param keys the sampled ones that came in it
 * @param heavy the keys that came most often, sampled or not, by {@link HeavyKeys#masked} hash, the first most often:
 *     as far as is known all that came as often as the last; empty where that is not told
 */
public record Popularity(double share, long sessions, double spanMs, List<KeyCount> keys, List<KeyCount> heavy) {

    /** @param count sessions with it in the span, from 1 */
    public record KeyCount(long hash, String station, long count) {}

    /** Without the heavy ones. */
    public Popularity(double share, long sessions, double spanMs, List<KeyCount> keys) {
        this(share, sessions, spanMs, keys, List.of());
    }

    public Popularity {
        if (!(share > 0 && share <= 1) || !(spanMs > 0) || sessions < 0) {
            throw new IllegalArgumentException("share " + share + ", span " + spanMs + " ms, sessions " + sessions);
        }
        keys = List.copyOf(keys);
        heavy = List.copyOf(heavy);
    }

    /** Sampled sessions. */
    public long sampled() {
        return keys.stream().mapToLong(KeyCount::count).sum();
    }
}
