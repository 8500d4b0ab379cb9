package peppergauge.forecast.observation;

import java.util.Map;
import peppergauge.forecast.cache.ServiceTimes.Sum;

/**
 * Response times at one daemon since it started, queueing and network included, relative to a slow mean of each kind of
 * server and request class. Cumulative. Sent and stored as JSON under these names.
 *
 * @param threshold keys whose 64-bit hash, as unsigned, is below it are reported individually; it only falls
 * @param all responses to requests with a key, sampled or not
 * @param near responses whose key this sidecar sent to the same server {@value ResponseTimeCounter#NEAR_MIN_GAP_MS} to
 *     {@value ResponseTimeCounter#NEAR_MAX_GAP_MS} ms before
 * @param keys all responses of each key below the threshold, by hash
 */
public record ResponseTimes(long threshold, Sum all, Sum near, Map<Long, Sum> keys) {
    public ResponseTimes {
        keys = Map.copyOf(keys);
    }
}
