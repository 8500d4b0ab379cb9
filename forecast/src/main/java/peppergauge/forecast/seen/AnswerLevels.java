package peppergauge.forecast.seen;

import java.util.Map;
import peppergauge.forecast.memory.ServiceTimes.Sum;

/**
 * How long answers took at one daemon since it started, waiting and network included, over a slow mean of its own for
 * each kind of server and class of request. Cumulative, as all of a report is.
 *
 * @param threshold keys whose 64-bit hash, taken as unsigned, is below it are told one by one; it only falls
 * @param all answers of sessions with a key, sampled or not
 * @param near those whose key this sidecar sent to the same server {@value AnswerCounter#NEAR_FROM_MS} to
 *     {@value AnswerCounter#NEAR_MS} ms before
 * @param keys all answers of each key below the threshold, by hash
 */
public record AnswerLevels(long threshold, Sum all, Sum near, Map<Long, Sum> keys) {
    public AnswerLevels {
        keys = Map.copyOf(keys);
    }
}
