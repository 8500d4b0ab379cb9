package peppergauge.coldstart;

import java.util.SplittableRandom;

/**
 * The pace at which one of hundreds asks a service that they all share, so that all of them may start, or lose it, at
 * one moment. Where their number is known, all together make about the calls a second that they are told, whatever
 * their number and whatever becomes of the calls. Where it is not, each backs off by decorrelated jitter, and it is the
 * failures that bring the whole down to what the service answers.
 *
 * <p>An answer's wait grows as calls fall silent: calls that wait in turn there longer than their callers wait here are
 * work for nobody, and all the same come before those that could still be answered.
 */
public final class SharedServicePollPolicy implements PollPolicy {

    /** What a caller has from before. */
    public enum PriorState {
        /** Nothing: it can do nothing until it is told. */
        NOTHING(1),
        /** Something, of whatever age: it can wait longer, and leaves the first turns to those that have nothing. */
        SOMETHING(1.5);

        private final double times;

        PriorState(double times) {
            this.times = times;
        }
    }

    /**
     * What the operator says of the service.
     *
     * @param callsPerS that all callers together make at most, as a mean, over 0
     * @param spreadMs over which first calls are spread at the least
     * @param answerMs the first wait for an answer, and {@code longestAnswerMs} the longest
     * @param longestPauseMs the longest pause of a caller that knows no number
     * @param silenceMs after which an answer that has begun counts as broken
     */
    public record Settings(
            double callsPerS,
            double spreadMs,
            double answerMs,
            double longestAnswerMs,
            double longestPauseMs,
            double silenceMs) {

        public Settings {
            if (!(callsPerS > 0
                    && spreadMs >= 0
                    && answerMs > 0
                    && longestAnswerMs >= answerMs
                    && longestPauseMs >= LEAST_PAUSE_MS
                    && silenceMs > 0)) {
                throw new IllegalArgumentException("not a pace: calls a second " + callsPerS + ", spread " + spreadMs
                        + ", answer " + answerMs + " to " + longestAnswerMs + ", longest pause " + longestPauseMs
                        + ", silence " + silenceMs);
            }
        }
    }

    private static final double LEAST_PAUSE_MS = 100;
    private static final double PAUSE_TIMES = 3;
    private static final double ANSWER_TIMES = 1.5;
    /** Of the silence and the answers' waits, upward: callers whose answers broke at one moment notice apart. */
    private static final double SPREAD = 0.2;

    private final Settings settings;
    private final SplittableRandom random;
    /** If each calls once in this time, all together call as often as they may; 0 where their number is not known. */
    private final double turnMs;

    private final double firstMs;
    private double answerMs;
    private double pauseMs;
    /** What the last call may have waited for its answer. */
    private double waitedMs;

    /** {@code callers}: how many ask this service, 0 where that is not known. {@code seed}: this caller's own. */
    public SharedServicePollPolicy(Settings settings, int callers, PriorState known, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        turnMs = 1_000 * callers / settings.callsPerS();
        firstMs = known.times * Math.max(settings.spreadMs(), turnMs);
        onSuccess();
    }

    @Override
    public synchronized double initialDelayMs() {
        double pause = random.nextDouble() * firstMs;
        assert pause >= 0 && pause <= firstMs : "a first pause of " + pause + " ms";
        return pause;
    }

    @Override
    public synchronized double responseTimeoutMs() {
        waitedMs = answerMs * (1 + SPREAD * random.nextDouble());
        assert waitedMs > 0 && waitedMs <= settings.longestAnswerMs() * (1 + SPREAD) : "to wait " + waitedMs + " ms";
        return waitedMs;
    }

    /** An answer's head may have come at once: if it falls silent now, no more than this has surely passed. */
    @Override
    public synchronized double idleTimeoutMs() {
        double silence = settings.silenceMs() * (1 + SPREAD * random.nextDouble());
        waitedMs = Math.min(waitedMs, silence);
        return silence;
    }

    @Override
    public synchronized void onSuccess() {
        answerMs = settings.answerMs();
        pauseMs = LEAST_PAUSE_MS;
        waitedMs = 0;
    }

    @Override
    public synchronized double delayAfterTimeoutMs() {
        answerMs = Math.min(settings.longestAnswerMs(), ANSWER_TIMES * answerMs);
        return pauseMs(waitedMs);
    }

    @Override
    public synchronized double delayAfterFailureMs() {
        return pauseMs(0);
    }

    private double pauseMs(double passedMs) {
        if (turnMs > 0) {
            // The whole is bounded by turns, so waiting longer for each would only keep all from being told.
            double pause = Math.max(LEAST_PAUSE_MS, turnMs * (0.5 + random.nextDouble()) - passedMs);
            assert passedMs + pause >= turnMs / 2 && pause <= Math.max(LEAST_PAUSE_MS, 1.5 * turnMs)
                    : "a pause of " + pause + " ms after " + passedMs + " of turns of " + turnMs;
            return pause;
        }
        // Drawn between the least and a multiple of the one before: pauses grow, and never line up.
        double most = Math.min(settings.longestPauseMs(), PAUSE_TIMES * pauseMs);
        pauseMs = LEAST_PAUSE_MS + random.nextDouble() * (most - LEAST_PAUSE_MS);
        assert pauseMs >= LEAST_PAUSE_MS && pauseMs <= settings.longestPauseMs() : "a pause of " + pauseMs + " ms";
        return pauseMs;
    }
}
