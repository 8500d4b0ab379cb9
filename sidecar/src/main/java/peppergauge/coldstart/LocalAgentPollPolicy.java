package peppergauge.coldstart;

import java.util.SplittableRandom;

/**
 * Poll policy for a discovery agent on the same machine, which responds immediately and at no significant cost.
 *
 * <p>After a failed call the next one starts within the drain grace, less the time for its response: after an outage of
 * the agent, its updates must be read before draining servers stop serving. A call without a response stays open as a
 * hedged call. A slow response or an overload status extends the response timeout, so that a slow service does not get
 * more calls than it can answer.
 *
 * <p>An idle watch is detected within 2.9 s. With a grace of 750 ms the first call after it starts within 3.1 s and the
 * second within 3.6 s, or within 6.5 s if the first received only a response head. All delays are randomized with the
 * instance's own seed.
 */
public final class LocalAgentPollPolicy implements PollPolicy {

    /** Longer than the agent's heartbeat interval of 2 s. */
    static final double MIN_IDLE_TIMEOUT_MS = 2_500;

    static final double MAX_IDLE_TIMEOUT_MS = 2_900;
    static final double DEFAULT_DRAIN_GRACE_MS = 750;

    private static final double MIN_DRAIN_GRACE_MS = 300;
    private static final double MAX_DRAIN_GRACE_MS = 1_000;
    /**
     * Part of the drain grace that is left after the next call has started: 150 ms for a stall of this process and
     * 50 ms for timers and the response, less the 50 ms by which the grace may be exceeded on sockets.
     */
    private static final double PROCESSING_RESERVE_MS = 150;
    /**
     * Longest usual response timeout, as a share of the retry window. With the two shares below, a first backoff (up to
     * 3 times 0.075), a call without a response (0.55) and the delay after it (0.14) fit in one retry window.
     */
    private static final double RESPONSE_TIMEOUT_SHARE = 0.55;

    private static final double MAX_TIMEOUT_DELAY_SHARE = 0.14;
    private static final double MIN_BACKOFF_SHARE = 0.075;
    /** Lower bound of the random factor of the response timeout. */
    private static final double MIN_JITTER_FACTOR = 0.8;
    /** Response timeout as a multiple of the peak latency. */
    private static final double LATENCY_MULTIPLE = 2;

    private static final double MAX_RESPONSE_TIMEOUT_MS = 2_900;
    /** Latency assumed for a service that rejects calls because it is overloaded. */
    private static final double OVERLOADED_LATENCY_MS = 500;
    /** Factor of the peak latency after each response. */
    private static final double DECAY_PER_RESPONSE = 0.5;
    /** Factor of the peak latency after each update or heartbeat. */
    private static final double DECAY_PER_SUCCESS = 0.9;

    private static final int MAX_HEDGED_CALLS = 2;
    private static final double HEDGED_CALL_TIMEOUT_MS = 6_000;
    private static final double BACKOFF_MULTIPLIER = 3;

    private final SplittableRandom random;
    /** Time within which the next call starts after a failed one. */
    private final double retryWindowMs;
    /** Latency of the slowest recent response, with exponential decay. */
    private double peakLatencyMs;

    private final double minBackoffMs;
    private double backoffMs;

    /** Creates a policy with the default drain grace; {@code seed} is the instance's own. */
    public LocalAgentPollPolicy(long seed) {
        this(seed, DEFAULT_DRAIN_GRACE_MS);
    }

    /** @param drainGraceMs how long a draining server may still be sent requests */
    public LocalAgentPollPolicy(long seed, double drainGraceMs) {
        random = new SplittableRandom(seed);
        retryWindowMs =
                Math.max(MIN_DRAIN_GRACE_MS, Math.min(MAX_DRAIN_GRACE_MS, drainGraceMs)) - PROCESSING_RESERVE_MS;
        minBackoffMs = MIN_BACKOFF_SHARE * retryWindowMs;
        backoffMs = minBackoffMs;
    }

    @Override
    public double initialDelayMs() {
        return 0;
    }

    /** Does not grow with the number of failed calls, so that the end of a long outage is detected in time. */
    @Override
    public synchronized double responseTimeoutMs() {
        double usualMs = RESPONSE_TIMEOUT_SHARE * retryWindowMs;
        double maxMs = Math.max(usualMs, Math.min(MAX_RESPONSE_TIMEOUT_MS, LATENCY_MULTIPLE * peakLatencyMs));
        double timeoutMs = maxMs * uniform(MIN_JITTER_FACTOR, 1);
        assert timeoutMs > 0 && timeoutMs <= Math.max(usualMs, MAX_RESPONSE_TIMEOUT_MS)
                : "response timeout out of range: " + timeoutMs + " ms";
        return timeoutMs;
    }

    /** Keeps the oldest call, which a service with a queue answers first, and the call before the newest. */
    @Override
    public int maxHedgedCalls() {
        return MAX_HEDGED_CALLS;
    }

    @Override
    public double hedgedCallTimeoutMs() {
        return HEDGED_CALL_TIMEOUT_MS;
    }

    @Override
    public synchronized double idleTimeoutMs() {
        double timeoutMs = uniform(MIN_IDLE_TIMEOUT_MS, MAX_IDLE_TIMEOUT_MS);
        assert timeoutMs >= MIN_IDLE_TIMEOUT_MS && timeoutMs <= MAX_IDLE_TIMEOUT_MS
                : "idle timeout out of range: " + timeoutMs + " ms";
        return timeoutMs;
    }

    @Override
    public synchronized void onResponseStarted(double latencyMs) {
        peakLatencyMs = Math.max(latencyMs, DECAY_PER_RESPONSE * peakLatencyMs);
    }

    @Override
    public synchronized void onOverloaded() {
        peakLatencyMs = Math.min(MAX_RESPONSE_TIMEOUT_MS, Math.max(OVERLOADED_LATENCY_MS, 2 * peakLatencyMs));
    }

    @Override
    public synchronized void onSuccess() {
        peakLatencyMs *= DECAY_PER_SUCCESS;
        backoffMs = minBackoffMs;
    }

    /** Short, since the timeout itself was a delay. */
    @Override
    public synchronized double delayAfterTimeoutMs() {
        double delayMs = random.nextDouble() * MAX_TIMEOUT_DELAY_SHARE * retryWindowMs;
        assert delayMs >= 0 && delayMs <= retryWindowMs : "delay after a timeout out of range: " + delayMs + " ms";
        return delayMs;
    }

    /** Uses decorrelated jitter; starts at half of the retry window if the service is overloaded. */
    @Override
    public synchronized double delayAfterFailureMs() {
        double minMs = peakLatencyMs >= OVERLOADED_LATENCY_MS ? retryWindowMs / 2 : minBackoffMs;
        double maxMs = Math.min(retryWindowMs, BACKOFF_MULTIPLIER * Math.max(minMs, backoffMs));
        backoffMs = uniform(minMs, maxMs);
        assert backoffMs >= minBackoffMs && backoffMs <= retryWindowMs : "backoff out of range: " + backoffMs + " ms";
        return backoffMs;
    }

    private double uniform(double min, double max) {
        return min + random.nextDouble() * (max - min);
    }
}
