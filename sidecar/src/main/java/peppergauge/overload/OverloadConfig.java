package peppergauge.overload;

import java.util.List;

/**
 * The configuration of an {@link OverloadController}.
 *
 * @param classWeights the priority weight of each class of requests, in the order of the settings; each 0 or more, at
 *     least one
 * @param retryWeight factor on the weight of a client's retry, 0 to 1
 * @param overQuotaWeight factor on the weight of a request whose tenant is over its quota, 0 to 1
 * @param mayAdviseRetryAfter whether rejected clients may be advised when to retry
 * @param maxRetryAfterMs the longest delay to advise, 0 or more
 * @param selectIntervalMs how long the event loop's select waits at most, over 0
 * @param slackMs by how much a select may exceed that interval without a pause of the process, 0 or more
 * @param targetDelayMs the queue delay that is acceptable permanently, over 0
 * @param intervalMs how long the delay may be above the target, and the interval of adjustments, over 0
 * @param seed the seed of the hash of request ids and of random delays
 */
public record OverloadConfig(
        List<Double> classWeights,
        double retryWeight,
        double overQuotaWeight,
        boolean mayAdviseRetryAfter,
        double maxRetryAfterMs,
        double selectIntervalMs,
        double slackMs,
        double targetDelayMs,
        double intervalMs,
        long seed) {

    /** Less than 1, since the response to a retry often comes after the latency objective. */
    public static final double RETRY_WEIGHT = 0.5;
    /** More than the error of a timer and a short garbage collection, less than the pause of a throttled process. */
    public static final double SLACK_MS = 5;
    /** About a twentieth of the shortest latency objective. */
    public static final double TARGET_DELAY_MS = 15;
    /** CoDel's interval; also the period of a CPU quota. */
    public static final double INTERVAL_MS = 100;

    private static final String SHARE = "0 to 1";

    /** @throws IllegalArgumentException naming the value that is out of range */
    public OverloadConfig {
        ConfigChecks.require(!classWeights.isEmpty(), "classWeights", classWeights, "at least one weight");
        classWeights.forEach(weight -> ConfigChecks.require(weight >= 0, "classWeights", weight, "0 or more"));
        ConfigChecks.require(retryWeight >= 0 && retryWeight <= 1, "retryWeight", retryWeight, SHARE);
        ConfigChecks.require(overQuotaWeight >= 0 && overQuotaWeight <= 1, "overQuotaWeight", overQuotaWeight, SHARE);
        ConfigChecks.require(
                maxRetryAfterMs >= 0 && maxRetryAfterMs < Double.POSITIVE_INFINITY,
                "maxRetryAfterMs",
                maxRetryAfterMs,
                "a finite number of 0 or more");
        classWeights = List.copyOf(classWeights);
    }

    /** Creates a configuration with the defaults for all values that the settings do not contain. */
    public static OverloadConfig of(
            List<Double> classWeights,
            double overQuotaWeight,
            boolean mayAdviseRetryAfter,
            double maxRetryAfterMs,
            double selectIntervalMs,
            long seed) {
        return new OverloadConfig(
                classWeights,
                RETRY_WEIGHT,
                overQuotaWeight,
                mayAdviseRetryAfter,
                maxRetryAfterMs,
                selectIntervalMs,
                SLACK_MS,
                TARGET_DELAY_MS,
                INTERVAL_MS,
                seed);
    }
}
