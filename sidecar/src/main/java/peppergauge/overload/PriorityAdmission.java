package peppergauge.overload;

import java.util.SplittableRandom;

/**
 * Decides which requests are admitted during a standing queue, after DAGOR (Zhou et al., "Overload Control for Scaling
 * WeChat Microservices", SoCC 2018, section 4.2): requests have levels by priority, and within a priority by a hash of
 * the id; those below an admission level are admitted, and the level is adjusted to the queue delay once an interval.
 * One thread only.
 */
final class PriorityAdmission {

    /** Levels within a priority, the granularity of the admission level. */
    static final int LEVELS_PER_PRIORITY = 32;
    /** One of this many requests of a priority is admitted although its level is shed. */
    static final int TRIAL_INTERVAL = 50;
    /** The lower bound of the admitted share. */
    static final double MIN_ADMITTED_SHARE = 1.0 / TRIAL_INTERVAL;
    /** Bounds of the factor by which the admitted share changes in an interval with a standing queue. */
    static final double STEEPEST_DECREASE_FACTOR = 0.5;

    static final double GENTLEST_DECREASE_FACTOR = 0.95;
    /** The factor of the admitted share after an interval in which the delay was within its target. */
    static final double INCREASE_FACTOR = 1.25;

    private final RequestPriority priorities;
    private final PriorityHistogram histogram;
    private final MinServiceTime minServiceTime = new MinServiceTime();
    /** Requests shed since the last trial, by priority. */
    private final int[] shedSinceTrial;

    private final long hashSeed;
    private final double targetDelayMs;
    private double admittedShare = 1;
    private int admittedLevels;
    private double previousDelayMs;

    PriorityAdmission(OverloadConfig config) {
        priorities = new RequestPriority(config.classWeights(), config.retryWeight(), config.overQuotaWeight());
        histogram = new PriorityHistogram(priorities.count() * LEVELS_PER_PRIORITY);
        shedSinceTrial = new int[priorities.count()];
        hashSeed = config.seed();
        targetDelayMs = config.targetDelayMs();
        admittedLevels = histogram.levelsCovering(1);
    }

    /**
     * Decides on a request and counts it in the histogram.
     *
     * @param queueDelayMs how long the request may have waited since its arrival
     */
    AdmissionDecision decide(double nowMs, double queueDelayMs, AdmissionRequest request) {
        if (request.remainingMs() < minServiceTime.estimateMs(nowMs)) {
            return AdmissionDecision.TOO_LATE;
        }
        int priority = priorities.of(request.requestClass(), request.clientRetry(), request.overQuota());
        int level = priority * LEVELS_PER_PRIORITY + levelWithinPriority(request.id());
        histogram.record(level);
        // As in CoDel, nothing is shed that has waited for less than the target.
        if (level < admittedLevels || queueDelayMs <= targetDelayMs) {
            return AdmissionDecision.ADMIT;
        }
        shedSinceTrial[priority] = (shedSinceTrial[priority] + 1) % TRIAL_INTERVAL;
        assert shedSinceTrial[priority] >= 0 && shedSinceTrial[priority] < TRIAL_INTERVAL
                : "no trial will be made: " + shedSinceTrial[priority];
        return shedSinceTrial[priority] == 0 ? AdmissionDecision.ADMIT : AdmissionDecision.SHED;
    }

    /** Records the latency of the successful attempt of a request. */
    void onServiceCompleted(double nowMs, double latencyMs) {
        minServiceTime.record(nowMs, latencyMs);
    }

    /** The minimum time that a request needs, in ms. */
    double minServiceMs(double nowMs) {
        return minServiceTime.estimateMs(nowMs);
    }

    /**
     * Adjusts the admitted share after one or more intervals. A decrease is made once however many intervals have
     * passed, since the process may have been paused.
     */
    void onInterval(StandingQueueDetector queue, double intervals) {
        double minDelayMs = queue.minDelayMs();
        if (queue.isStanding()) {
            // A round serves the arrivals during the previous one, so its length grows by the factor of the overload.
            double growth = minDelayMs / Math.max(previousDelayMs, targetDelayMs);
            admittedShare *= Math.max(STEEPEST_DECREASE_FACTOR, Math.min(GENTLEST_DECREASE_FACTOR, 1 / growth));
        } else if (queue.wasWithinTarget()) {
            admittedShare *= StrictMath.pow(INCREASE_FACTOR, intervals);
        }
        previousDelayMs = minDelayMs;
        admittedShare = Math.max(MIN_ADMITTED_SHARE, Math.min(1, admittedShare));
        admittedLevels = histogram.levelsCovering(admittedShare);
        histogram.decay();
        assert admittedShare >= MIN_ADMITTED_SHARE && admittedShare <= 1
                : "the admitted share is out of bounds: " + admittedShare;
        assert admittedLevels >= 0 && admittedLevels <= shedSinceTrial.length * LEVELS_PER_PRIORITY
                : "the number of admitted levels is out of bounds: " + admittedLevels;
    }

    /** The share of requests to be admitted, {@link #MIN_ADMITTED_SHARE} to 1. */
    double admittedShare() {
        return admittedShare;
    }

    /** The level of an id within its priority. The seed prevents clients from choosing a level. */
    private int levelWithinPriority(String id) {
        return new SplittableRandom(hashSeed ^ id.hashCode()).nextInt(LEVELS_PER_PRIORITY);
    }
}
