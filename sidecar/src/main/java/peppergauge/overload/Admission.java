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
final class Admission {

    /** Levels within a rank: a thirty-second of a rank is the finest step. */
    static final int LEVELS_PER_RANK = 32;
    /** Of so many that would be shed in a rank, one is taken all the same: no rank is shut out for good. */
    static final int TRIAL_EVERY = 50;
    /** Least share that is steered to: what the trials take anyway, and 18 steps of {@link #UP} from 1. */
    static final double LEAST_SHARE = 1.0 / TRIAL_EVERY;
    /** A step down: what undoes the growth of the delay, within these. */
    static final double DOWN_MOST = 0.5;

    static final double DOWN_LEAST = 0.95;
    /** A step up; each interval in which the delay was short. */
    static final double UP = 1.25;

    private final Ranks ranks;
    private final Levels levels;
    private final LeastService least = new LeastService();
    /** Sessions shed in each rank since the last trial. */
    private final int[] shed;

    private final long salt;
    private final double targetMs;
    private double share = 1;
    private int admitted;
    private double delayMs;

    Admission(OverloadConfig settings) {
        ranks = new Ranks(settings.classWorths(), settings.retryWorth(), settings.overShareWorth());
        levels = new Levels(ranks.count() * LEVELS_PER_RANK);
        shed = new int[ranks.count()];
        salt = settings.seed();
        targetMs = settings.targetMs();
        admitted = levels.holding(1);
    }

    /** {@code waitedMs}: how long what is judged now may have waited, since it came in. */
    AdmissionDecision judge(double nowMs, double waitedMs, Arrival arrival) {
        if (arrival.remainingMs() < least.ms(nowMs)) {
            return AdmissionDecision.LATE;
        }
        int rank = ranks.of(arrival.requestClass(), arrival.clientRetry(), arrival.overShare());
        int level = rank * LEVELS_PER_RANK + spread(arrival.id());
        levels.came(level);
        // As in CoDel nothing is dropped that has not waited for the target: there is time for it just now.
        if (level < admitted || waitedMs <= targetMs) {
            return AdmissionDecision.ADMIT;
        }
        shed[rank] = (shed[rank] + 1) % TRIAL_EVERY;
        assert shed[rank] >= 0 && shed[rank] < TRIAL_EVERY : "no trial comes any more: " + shed[rank];
        return shed[rank] == 0 ? AdmissionDecision.ADMIT : AdmissionDecision.SHED;
    }

    /** A service ended well after {@code tookMs}. */
    void served(double nowMs, double tookMs) {
        least.ended(nowMs, tookMs);
    }

    /** The least time, ms, that a session needs, as far as is known. */
    double leastServiceMs(double nowMs) {
        return least.ms(nowMs);
    }

    /**
     * An interval has passed, or several. Down goes one step however many passed: the process may have stood still.
     */
    void step(StandingDelay delay, double intervals) {
        double leastMs = delay.leastMs();
        if (delay.stands()) {
            // Where a round serves what came in during the last one, its length grows by the load each time.
            double growth = leastMs / Math.max(delayMs, targetMs);
            share *= Math.max(DOWN_MOST, Math.min(DOWN_LEAST, 1 / growth));
        } else if (delay.wasShort()) {
            share *= Math.pow(UP, intervals);
        }
        delayMs = leastMs;
        share = Math.max(LEAST_SHARE, Math.min(1, share));
        admitted = levels.holding(share);
        levels.fade();
        assert share >= LEAST_SHARE && share <= 1 : "a share that is none, for good: " + share;
        assert admitted >= 0 && admitted <= shed.length * LEVELS_PER_RANK : "no such level: " + admitted;
    }

    /** The share of arrivals that is to be taken, from {@link #LEAST_SHARE} to 1. */
    double share() {
        return share;
    }

    /** Where in its rank a session stands: the same for the same id, and not to be chosen by who picks the id. */
    private int spread(String id) {
        return new SplittableRandom(salt ^ id.hashCode()).nextInt(LEVELS_PER_RANK);
    }
}
