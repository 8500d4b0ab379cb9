package peppergauge.coldstart;

import static peppergauge.invariant.Loads.require;

import java.util.SplittableRandom;
import peppergauge.invariant.Loads;

/** Callers whose calls meet any fate, paced as the watch of discovery does it, in virtual time. */
public final class PollPolicyLoad {

    /** The loop looks at its time-outs once in this time, at each of them. */
    private static final double SELECT_MS = 20;
    /** When the calls after a silence have begun at the latest, ms, where none before them is answered. */
    private static final double[] LIST_CLOCK_MS = {3_100, 3_600, 4_100};

    private final SplittableRandom random;
    private double nowMs;

    private PollPolicyLoad(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        PollPolicyLoad load = new PollPolicyLoad(seed);
        load.turns();
        load.unknownNumber();
        load.listClock();
        load.crowding();
        load.readiness();
    }

    /**
     * All callers by turns: none calls sooner than half a turn after its last call, so that over any time of so many
     * turns all make at most two calls a turn and one more each; and in the mean they make one.
     */
    private void turns() {
        int callers = 1 + random.nextInt(3_000);
        double perS = 1 + random.nextInt(100);
        SharedServicePollPolicy.Config settings = settings(perS);
        double turnMs = 1_000 * callers / perS;
        int seen = Math.min(callers, 40);
        double lengthMs = Math.max(60_000, Loads.steps(40) * turnMs);
        long calls = 0;
        for (int caller = 0; caller < seen; caller++) {
            PollPolicy pace = new SharedServicePollPolicy(settings, callers, known(), random.nextLong());
            nowMs = 0;
            double lastMs = Double.NEGATIVE_INFINITY;
            for (nowMs = pace.initialDelayMs(); nowMs < lengthMs; nowMs += call(pace)) {
                require(
                        nowMs - lastMs >= turnMs / 2 - 1e-6,
                        "a call " + (nowMs - lastMs) + " ms after the last, of turns of " + turnMs);
                lastMs = nowMs;
                calls++;
            }
        }
        // Short turns end with the least pause; 1.25 is far beyond what chance does in so many turns.
        double most = 1.25 * seen * lengthMs / turnMs + 2 * seen;
        require(calls <= most, calls + " calls where " + most + " are the most");
    }

    private SharedServicePollPolicy.Config settings(double perS) {
        double answerMs = 100 + random.nextInt(4_000);
        return new SharedServicePollPolicy.Config(
                perS,
                random.nextInt(5_000),
                answerMs,
                answerMs * (1 + random.nextInt(6)),
                100 + random.nextInt(60_000),
                100 + random.nextInt(4_000));
    }

    private SharedServicePollPolicy.PriorState known() {
        return SharedServicePollPolicy.PriorState.values()[random.nextInt(2)];
    }

    /** Without a number the pauses stay within their bounds, and begin anew once the service is heard. */
    private void unknownNumber() {
        SharedServicePollPolicy pace = new SharedServicePollPolicy(settings(50), 0, known(), random.nextLong());
        for (int i = 0; i < 40; i++) {
            require(call(pace) >= 100, "called again at once");
        }
        pace.onSuccess();
        require(pace.delayAfterFailureMs() <= 300, "a long pause after the service was heard");
    }

    /** One call and the pause after it, ms. */
    private double call(PollPolicy pace) {
        double answerMs = pace.responseTimeoutMs();
        require(answerMs > 0 && answerMs < 60_000, "to wait " + answerMs + " ms");
        switch (random.nextInt(5)) {
            case 0 -> {
                return pace.delayAfterFailureMs();
            }
            case 1 -> {
                return answerMs + pace.delayAfterTimeoutMs();
            }
            case 2 -> {
                // The head comes at once or late, and nothing after it.
                return random.nextDouble() * answerMs + pace.idleTimeoutMs() + pace.delayAfterTimeoutMs();
            }
            case 3 -> {
                double headMs = random.nextDouble() * answerMs;
                double silenceMs = pace.idleTimeoutMs();
                pace.onSuccess();
                return headMs + silenceMs + pace.delayAfterTimeoutMs();
            }
            default -> {
                pace.idleTimeoutMs();
                pace.onSuccess();
                return pace.delayAfterFailureMs();
            }
        }
    }

    /** An open watch falls silent after any history of calls; then none is answered, and the clock counts. */
    private void listClock() {
        LocalAgentPollPolicy pace = new LocalAgentPollPolicy(random.nextLong());
        require(pace.initialDelayMs() == 0, "the first call waits");
        for (int i = 0; i < 30; i++) {
            for (int history = random.nextInt(6); history > 0; history--) {
                call(pace);
            }
            pace.responseTimeoutMs();
            pace.idleTimeoutMs();
            pace.onSuccess();
            double atMs = pace.idleTimeoutMs() + SELECT_MS + pace.delayAfterTimeoutMs();
            for (double latestMs : LIST_CLOCK_MS) {
                require(atMs <= latestMs, "a silent watch is asked for anew only after " + atMs + " of " + latestMs);
                atMs += pace.responseTimeoutMs() + SELECT_MS + pace.delayAfterTimeoutMs();
            }
        }
    }

    /** A service that answers late, or turns calls away, is asked less often; with each sign of life it fades. */
    private void crowding() {
        LocalAgentPollPolicy pace = new LocalAgentPollPolicy(random.nextLong());
        double lateMs = 500 + random.nextInt(700);
        if (random.nextBoolean()) {
            pace.onResponseStarted(lateMs);
        } else {
            lateMs = 500;
            pace.onOverloaded();
        }
        double waitMs = pace.responseTimeoutMs();
        require(waitMs >= 0.8 * 2 * lateMs, "asked again after " + waitMs + " ms where an answer took " + lateMs);
        for (int sign = 0; sign < 30; sign++) {
            pace.onSuccess();
        }
        require(pace.responseTimeoutMs() < 400, "a late answer is still waited for a minute after it");
    }

    /** The start, as the program waits for it: by news, or by its patience. */
    private void readiness() {
        double patienceMs = random.nextInt(3_000);
        ReadinessPolicy readiness = new ReadinessPolicy(patienceMs, patienceMs + random.nextInt(20_000));
        int known = random.nextInt(3);
        require(
                readiness.timeoutMs(known) <= (known > 0 ? patienceMs : readiness.noEndpointsTimeoutMs()),
                "waits too long");
        require(!readiness.isReadyAfter(true, 0, known), "an empty list is taken for news");
        require(known > 0 || !readiness.isReadyAfter(false, 0, known), "changes of nothing are taken for news");
        require(readiness.isReadyAfter(random.nextBoolean(), 1, known), "a list is not taken for news");
    }
}
