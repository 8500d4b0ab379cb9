package peppergauge.coldstart;

import java.util.SplittableRandom;

/**
 * The pace at which an agent on this machine is asked for the server table: it answers at once and at no cost, so that
 * what counts is the clock. All is drawn by the caller's own seed, so that hundreds whose watches end at one moment do
 * not ask in step.
 *
 * <p>What the agent gets when discovery is back after an outage counts as told at once, and a server that leaves may be
 * sent to for the drain grace after that. So however calls fail, and for however long, the next one begins within the
 * grace, less the time for its answer and for a process that is held up.
 *
 * <p>Not every discovery is such an agent. One that many share answers late when it has many calls to answer, and each
 * further call makes it later. Therefore a call without an answer is not given up: the next one is made beside it, and
 * whichever is answered first counts (a hedged request). What came late, or was turned away for crowding, makes the
 * waits before hedged calls longer, as TCP's retransmission time-out grows with the round trips that were measured; an
 * answer at once makes them short again.
 *
 * <p>What a silent watch misses counts as told 6 s after it fell silent. The empty line comes every 2 s: a silence is
 * found within 2.9 s at the latest, and with a grace of 750 ms the first call after it begins within 3.1 s, the second
 * within 3.6 s; within 6.5 s the one that follows a call of which only the head was answered.
 */
public final class LocalAgentPollPolicy implements PollPolicy {

    /** Of which an empty line comes within 2 s. */
    static final double LEAST_SILENCE_MS = 2_500;

    static final double LONGEST_SILENCE_MS = 2_900;
    /** The drain grace where the settings tell none, and the limits of what is taken from them. */
    static final double USUAL_GRACE_MS = 750;

    private static final double LEAST_GRACE_MS = 300;
    private static final double LONGEST_GRACE_MS = 1_000;
    /**
     * Of the grace, for what comes after a call's time: a process may be held up for 150 ms; timers, connecting, the
     * answer and its way to the module take up to 50 ms; on sockets the grace is 50 ms longer.
     */
    private static final double RESERVE_MS = 150;
    /**
     * Shares of the time in which the next call has to begin: the wait for an answer and the pause after it. The rest
     * is for the first back-off, at most {@link #BACKOFF_TIMES} times its share: a watch may be reset as servers
     * drain, and the call after it fall silent.
     */
    private static final double ANSWER_SHARE = 0.55;

    private static final double PAUSE_SHARE = 0.14;
    private static final double LEAST_BACKOFF_SHARE = 0.075;
    /** Of an answer's longest wait, the least that is drawn. */
    private static final double LEAST_ANSWER_PART = 0.8;
    /** The wait for an answer, in times that the slowest of late took. */
    private static final double SLOW_TIMES = 2;

    private static final double LONGEST_ANSWER_MS = 2_900;
    /** What a service that turns calls away is taken to need at the least. */
    private static final double CROWDED_MS = 500;
    /** How much of a late answer still counts after a further answer, and after each further sign of life. */
    private static final double REMEMBERED_BY_ANSWER = 0.5;

    private static final double REMEMBERED_BY_SIGN = 0.9;
    private static final int CALLS_KEPT = 2;
    private static final double KEPT_MS = 6_000;
    private static final double BACKOFF_TIMES = 3;

    private final SplittableRandom random;
    /** In which the next call has to begin. */
    private final double withinMs;
    /** What the slowest of the last answers took, fading. */
    private double slowMs;

    private final double leastBackoffMs;
    private double backoffMs;

    /** {@code seed}: this caller's own. */
    public LocalAgentPollPolicy(long seed) {
        this(seed, USUAL_GRACE_MS);
    }

    /** {@code graceMs}: so long may a server that counts as leaving be sent to. */
    public LocalAgentPollPolicy(long seed, double graceMs) {
        random = new SplittableRandom(seed);
        withinMs = Math.max(LEAST_GRACE_MS, Math.min(LONGEST_GRACE_MS, graceMs)) - RESERVE_MS;
        leastBackoffMs = LEAST_BACKOFF_SHARE * withinMs;
        backoffMs = leastBackoffMs;
    }

    @Override
    public double initialDelayMs() {
        return 0;
    }

    /** Alike over an outage of any length, so that what is there at its end is asked for in time. */
    @Override
    public synchronized double responseTimeoutMs() {
        double promptMs = ANSWER_SHARE * withinMs;
        double longestMs = Math.max(promptMs, Math.min(LONGEST_ANSWER_MS, SLOW_TIMES * slowMs));
        double wait = longestMs * between(LEAST_ANSWER_PART, 1);
        assert wait > 0 && wait <= Math.max(promptMs, LONGEST_ANSWER_MS) : "to wait " + wait + " ms for an answer";
        return wait;
    }

    /** The oldest and the one before the last: in a queue the oldest comes first, after an outage the newest does. */
    @Override
    public int maxHedgedCalls() {
        return CALLS_KEPT;
    }

    @Override
    public double hedgedCallTimeoutMs() {
        return KEPT_MS;
    }

    @Override
    public synchronized double idleTimeoutMs() {
        double silence = between(LEAST_SILENCE_MS, LONGEST_SILENCE_MS);
        assert silence >= LEAST_SILENCE_MS && silence <= LONGEST_SILENCE_MS : "a silence of " + silence + " ms";
        return silence;
    }

    @Override
    public synchronized void onResponseStarted(double afterMs) {
        slowMs = Math.max(afterMs, REMEMBERED_BY_ANSWER * slowMs);
    }

    @Override
    public synchronized void onOverloaded() {
        slowMs = Math.min(LONGEST_ANSWER_MS, Math.max(CROWDED_MS, 2 * slowMs));
    }

    @Override
    public synchronized void onSuccess() {
        slowMs *= REMEMBERED_BY_SIGN;
        backoffMs = leastBackoffMs;
    }

    /** After a silence, which was a wait in itself. */
    @Override
    public synchronized double delayAfterTimeoutMs() {
        double pause = random.nextDouble() * PAUSE_SHARE * withinMs;
        assert pause >= 0 && pause <= withinMs : "a pause of " + pause + " ms after a silence";
        return pause;
    }

    /**
     * Each drawn between the least and a multiple of the one before; a crowded service is given longer ones at once.
     */
    @Override
    public synchronized double delayAfterFailureMs() {
        double leastMs = slowMs >= CROWDED_MS ? withinMs / 2 : leastBackoffMs;
        double mostMs = Math.min(withinMs, BACKOFF_TIMES * Math.max(leastMs, backoffMs));
        backoffMs = between(leastMs, mostMs);
        assert backoffMs >= leastBackoffMs && backoffMs <= withinMs : "a pause of " + backoffMs + " ms";
        return backoffMs;
    }

    private double between(double least, double most) {
        return least + random.nextDouble() * (most - least);
    }
}
