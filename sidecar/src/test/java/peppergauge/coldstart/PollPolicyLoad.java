package peppergauge.coldstart;

import static peppergauge.invariant.Loads.require;

import java.util.SplittableRandom;
import peppergauge.invariant.Loads;

/** Checks the policies against random sequences of calls, scheduled as an endpoint watch does, in virtual time. */
public final class PollPolicyLoad {

    /** The event loop checks each timeout once in this interval. */
    private static final double SELECT_INTERVAL_MS = 20;
    /** Latest starts of the calls after the watch became idle, ms, if no call before them gets a response. */
    private static final double[] LATEST_CALL_STARTS_MS = {3_100, 3_600, 4_100};

    private final SplittableRandom random;
    private double nowMs;

    private PollPolicyLoad(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @throws AssertionError if a property is violated */
    public static void run(long seed) {
        PollPolicyLoad load = new PollPolicyLoad(seed);
        load.checkCallRate();
        load.checkUnknownNumberOfInstances();
        load.checkCallsAfterIdleTimeout();
        load.checkSlowService();
        load.checkReadiness();
    }

    /**
     * Checks the call rate of instances of a known number: an instance never calls earlier than half an interval after
     * its last call, so that all instances together make at most two calls per interval and one more each, and on
     * average one.
     */
    private void checkCallRate() {
        int instances = 1 + random.nextInt(3_000);
        double callsPerSecond = 1 + random.nextInt(100);
        SharedServicePollPolicy.Config config = config(callsPerSecond);
        double intervalMs = 1_000 * instances / callsPerSecond;
        int simulated = Math.min(instances, 40);
        double durationMs = Math.max(60_000, Loads.steps(40) * intervalMs);
        long calls = 0;
        for (int instance = 0; instance < simulated; instance++) {
            PollPolicy policy = new SharedServicePollPolicy(config, instances, priorState(), random.nextLong());
            nowMs = 0;
            double lastMs = Double.NEGATIVE_INFINITY;
            for (nowMs = policy.initialDelayMs(); nowMs < durationMs; nowMs += call(policy)) {
                require(
                        nowMs - lastMs >= intervalMs / 2 - 1e-6,
                        "a call " + (nowMs - lastMs) + " ms after the last one, expected at least " + intervalMs / 2);
                lastMs = nowMs;
                calls++;
            }
        }
        // Short intervals are extended to the minimum delay; a random deviation by 1.25 is practically impossible.
        double maxCalls = 1.25 * simulated * durationMs / intervalMs + 2 * simulated;
        require(calls <= maxCalls, "expected at most " + maxCalls + " calls, was " + calls);
    }

    private SharedServicePollPolicy.Config config(double callsPerSecond) {
        double responseTimeoutMs = 100 + random.nextInt(4_000);
        return new SharedServicePollPolicy.Config(
                callsPerSecond,
                random.nextInt(5_000),
                responseTimeoutMs,
                responseTimeoutMs * (1 + random.nextInt(6)),
                100 + random.nextInt(60_000),
                100 + random.nextInt(4_000));
    }

    private SharedServicePollPolicy.PriorState priorState() {
        return SharedServicePollPolicy.PriorState.values()[random.nextInt(2)];
    }

    /** Checks that delays stay within their bounds if the number is unknown, and are reset after a success. */
    private void checkUnknownNumberOfInstances() {
        SharedServicePollPolicy policy = new SharedServicePollPolicy(config(50), 0, priorState(), random.nextLong());
        for (int i = 0; i < 40; i++) {
            require(call(policy) >= 100, "a call without a delay");
        }
        policy.onSuccess();
        require(policy.delayAfterFailureMs() <= 300, "a long delay after a success");
    }

    /** Returns the time from the start of a call with a random outcome to the start of the next call, ms. */
    private double call(PollPolicy policy) {
        double responseTimeoutMs = policy.responseTimeoutMs();
        require(
                responseTimeoutMs > 0 && responseTimeoutMs < 60_000,
                "expected a response timeout of 0 to 60000 ms, was " + responseTimeoutMs);
        switch (random.nextInt(5)) {
            case 0 -> {
                return policy.delayAfterFailureMs();
            }
            case 1 -> {
                return responseTimeoutMs + policy.delayAfterTimeoutMs();
            }
            case 2 -> {
                // Only a response head is received.
                return random.nextDouble() * responseTimeoutMs + policy.idleTimeoutMs() + policy.delayAfterTimeoutMs();
            }
            case 3 -> {
                double headMs = random.nextDouble() * responseTimeoutMs;
                double idleTimeoutMs = policy.idleTimeoutMs();
                policy.onSuccess();
                return headMs + idleTimeoutMs + policy.delayAfterTimeoutMs();
            }
            default -> {
                policy.idleTimeoutMs();
                policy.onSuccess();
                return policy.delayAfterFailureMs();
            }
        }
    }

    /** Checks the starts of calls without a response after an open watch became idle, for random previous calls. */
    private void checkCallsAfterIdleTimeout() {
        LocalAgentPollPolicy policy = new LocalAgentPollPolicy(random.nextLong());
        require(policy.initialDelayMs() == 0, "expected the first call without a delay");
        for (int i = 0; i < 30; i++) {
            for (int previous = random.nextInt(6); previous > 0; previous--) {
                call(policy);
            }
            policy.responseTimeoutMs();
            policy.idleTimeoutMs();
            policy.onSuccess();
            double startMs = policy.idleTimeoutMs() + SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs();
            for (double latestMs : LATEST_CALL_STARTS_MS) {
                require(startMs <= latestMs, "a call started only after " + startMs + " ms, expected by " + latestMs);
                startMs += policy.responseTimeoutMs() + SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs();
            }
        }
    }

    /** Checks that a slow or overloaded service extends the response timeout, and that successes reduce it again. */
    private void checkSlowService() {
        LocalAgentPollPolicy policy = new LocalAgentPollPolicy(random.nextLong());
        double latencyMs = 500 + random.nextInt(700);
        if (random.nextBoolean()) {
            policy.onResponseStarted(latencyMs);
        } else {
            latencyMs = 500;
            policy.onOverloaded();
        }
        double timeoutMs = policy.responseTimeoutMs();
        require(
                timeoutMs >= 0.8 * 2 * latencyMs,
                "a response timeout of " + timeoutMs + " ms after a latency of " + latencyMs);
        for (int i = 0; i < 30; i++) {
            policy.onSuccess();
        }
        require(policy.responseTimeoutMs() < 400, "the response timeout is still extended after 30 successes");
    }

    private void checkReadiness() {
        double cachedEndpointsTimeoutMs = random.nextInt(3_000);
        ReadinessPolicy readiness =
                new ReadinessPolicy(cachedEndpointsTimeoutMs, cachedEndpointsTimeoutMs + random.nextInt(20_000));
        int known = random.nextInt(3);
        require(
                readiness.timeoutMs(known) <= (known > 0 ? cachedEndpointsTimeoutMs : readiness.noEndpointsTimeoutMs()),
                "the readiness timeout is too long");
        require(!readiness.isReadyAfter(true, 0, known), "ready after an empty list");
        require(known > 0 || !readiness.isReadyAfter(false, 0, known), "ready after a change without servers");
        require(readiness.isReadyAfter(random.nextBoolean(), 1, known), "not ready after a list with servers");
    }
}
