package peppergauge.overload;

import java.util.SplittableRandom;

/**
 * Which of the sessions that arrive are taken while a queue stands.
 *
 * <p>After DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018, section 4.2): levels by
 * worth, and within a worth by a hash; those above an admission level are taken; the level follows the delay. Other
 * than there the steps are taken every 0.1 s and are large (there 5% down and 1% up, each second): the clients of a
 * sidecar wait for less than a second. One thread only.
 */
final class PriorityAdmission {

    /** Levels within a rank: a thirty-second of a rank is the finest step. */
    static final int LEVELS_PER_PRIORITY = 32;
    /** Of so many that would be shed in a rank, one is taken all the same: no rank is shut out for good. */
    static final int TRIAL_INTERVAL = 50;
    /** Least share that is steered to: what the trials take anyway, and 18 steps of {@link #UP} from 1. */
    static final double MIN_ADMITTED_SHARE = 1.0 / TRIAL_INTERVAL;
    /** A step down: what undoes the growth of the delay, within these. */
    static final double STEEPEST_DECREASE_FACTOR = 0.5;

    static final double GENTLEST_DECREASE_FACTOR = 0.95;
    /** A step up; each interval in which the delay was short. */
    static final double INCREASE_FACTOR = 1.25;

    private final RequestPriority priorities;
    private final PriorityHistogram histogram;
    private final MinServiceTime minServiceTime = new MinServiceTime();
    /** Sessions shed in each rank since the last trial. */
    private final int[] shedSinceTrial;

    private final long hashSeed;
    private final double targetMs;
    private double admittedShare = 1;
    private int admittedLevels;
    private double delayMs;

    PriorityAdmission(OverloadConfig settings) {
        priorities = new RequestPriority(settings.classWeights(), settings.retryWeight(), settings.overQuotaWeight());
        histogram = new PriorityHistogram(priorities.count() * LEVELS_PER_PRIORITY);
        shedSinceTrial = new int[priorities.count()];
        hashSeed = settings.seed();
        targetMs = settings.targetDelayMs();
        admittedLevels = histogram.levelsCovering(1);
    }

    /** {@code waitedMs}: how long what is judged now may have waited, since it came in. */
    AdmissionDecision decide(double nowMs, double queueDelayMs, AdmissionRequest request) {
        if (request.remainingMs() < minServiceTime.estimateMs(nowMs)) {
            return AdmissionDecision.TOO_LATE;
        }
        int priority = priorities.of(request.requestClass(), request.clientRetry(), request.overQuota());
        int level = priority * LEVELS_PER_PRIORITY + levelWithinPriority(request.id());
        histogram.record(level);
        // As in CoDel nothing is dropped that has not waited for the target: there is time for it just now.
        if (level < admittedLevels || queueDelayMs <= targetMs) {
            return AdmissionDecision.ADMIT;
        }
        shedSinceTrial[priority] = (shedSinceTrial[priority] + 1) % TRIAL_INTERVAL;
        assert shedSinceTrial[priority] >= 0 && shedSinceTrial[priority] < TRIAL_INTERVAL
                : "no trial comes any more: " + shedSinceTrial[priority];
        return shedSinceTrial[priority] == 0 ? AdmissionDecision.ADMIT : AdmissionDecision.SHED;
    }

    /** A service ended well after {@code tookMs}. */
    void onServiceCompleted(double nowMs, double latencyMs) {
        minServiceTime.record(nowMs, latencyMs);
    }

    /** The least time, ms, that a session needs, as far as is known. */
    double minServiceMs(double nowMs) {
        return minServiceTime.estimateMs(nowMs);
    }

    /**
     * An interval has passed, or several. Down goes one step however many passed: the process may have stood still.
     */
    void onInterval(StandingQueueDetector queue, double intervals) {
        double minDelayMs = queue.minDelayMs();
        if (queue.isStanding()) {
            // Where a round serves what came in during the last one, its length grows by the load each time.
            double growth = minDelayMs / Math.max(delayMs, targetMs);
            admittedShare *= Math.max(STEEPEST_DECREASE_FACTOR, Math.min(GENTLEST_DECREASE_FACTOR, 1 / growth));
        } else if (queue.wasWithinTarget()) {
            admittedShare *= Math.pow(INCREASE_FACTOR, intervals);
        }
        delayMs = minDelayMs;
        admittedShare = Math.max(MIN_ADMITTED_SHARE, Math.min(1, admittedShare));
        admittedLevels = histogram.levelsCovering(admittedShare);
        histogram.decay();
        assert admittedShare >= MIN_ADMITTED_SHARE && admittedShare <= 1
                : "a share that is none, for good: " + admittedShare;
        assert admittedLevels >= 0 && admittedLevels <= shedSinceTrial.length * LEVELS_PER_PRIORITY
                : "no such level: " + admittedLevels;
    }

    /** The share of arrivals that is to be taken, from {@link #LEAST_SHARE} to 1. */
    double admittedShare() {
        return admittedShare;
    }

    /** Where in its rank a session stands: the same for the same id, and not to be chosen by who picks the id. */
    private int levelWithinPriority(String id) {
        return new SplittableRandom(hashSeed ^ id.hashCode()).nextInt(LEVELS_PER_PRIORITY);
    }
}
