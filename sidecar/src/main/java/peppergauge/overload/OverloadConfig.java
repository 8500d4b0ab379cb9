package peppergauge.overload;

import java.util.List;

/**
 * All that {@link OverloadController} is told at its start.
 *
 * @param classWorths the worth of each class of requests in the order of the settings, each 0 or more, at least one
 * @param retryWorth what a client's marked retry is worth of its class, 0 to 1
 * @param overShareWorth what a session over its tenant's share is worth of its class, 0 to 1
 * @param retryAfter whether clients may be told when to come back
 * @param maxRetryAfterMs the longest that they follow, 0 or more
 * @param selectIntervalMs how long the reactor's select waits at most, over 0
 * @param slackMs how much later it may return with nothing amiss, 0 or more
 * @param targetMs the queue delay that may stand, over 0
 * @param intervalMs for how long it may be over that, and how often the share is steered, over 0
 * @param seed for the spread of ids over levels and of times to come back
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

    /** Half: the first try's time is spent, so a retry's answer often comes after the time that it was wanted in. */
    public static final double RETRY_WEIGHT = 0.5;
    /** More than a timer's error and a short garbage collection, less than a throttled process's pause. */
    public static final double SLACK_MS = 5;
    /** About a twentieth of the shortest time that clients want an answer in, and 20 to 60 sessions' work. */
    public static final double TARGET_DELAY_MS = 15;
    /** CoDel's; also the period by which a process that used up its share of CPU is let on. */
    public static final double INTERVAL_MS = 100;

    /** @throws IllegalArgumentException naming the figure that is out of its range */
    public OverloadConfig {
        ConfigChecks.require(!classWeights.isEmpty(), "classWorths", classWeights);
        classWeights.forEach(worth -> ConfigChecks.require(worth >= 0, "classWorths", worth));
        ConfigChecks.require(retryWeight >= 0 && retryWeight <= 1, "retryWorth", retryWeight);
        ConfigChecks.require(overQuotaWeight >= 0 && overQuotaWeight <= 1, "overShareWorth", overQuotaWeight);
        ConfigChecks.require(
                maxRetryAfterMs >= 0 && maxRetryAfterMs < Double.POSITIVE_INFINITY, "maxRetryAfterMs", maxRetryAfterMs);
        classWeights = List.copyOf(classWeights);
    }

    /** With the defaults for all that a deployment does not state. */
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
