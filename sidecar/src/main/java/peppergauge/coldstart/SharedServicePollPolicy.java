package peppergauge.coldstart;

import java.util.SplittableRandom;

/**
 * Poll policy for a discovery service that hundreds of instances share and may all call at the same time.
 *
 * <p>If the number of instances is known, each makes one call per interval, so that together they stay within the
 * configured call rate whether calls succeed or fail. If it is not known, each backs off with decorrelated jitter. The
 * response timeout grows with each call that times out, since a service with a queue also processes abandoned calls.
 */
public final class SharedServicePollPolicy implements PollPolicy {

    /** The state that an instance has when it starts. */
    public enum PriorState {
        /** No endpoint list: the instance cannot serve before the first update. */
        NONE(1),
        /** A cached endpoint list: the first call may be later than that of instances without one. */
        CACHED_ENDPOINTS(1.5);

        private final double initialDelayFactor;

        PriorState(double initialDelayFactor) {
            this.initialDelayFactor = initialDelayFactor;
        }
    }

    /**
     * The operator's settings for the service.
     *
     * @param callsPerSecond maximum mean call rate of all instances together, over 0
     * @param minInitialSpreadMs minimum time over which initial calls are spread
     * @param responseTimeoutMs first response timeout
     * @param maxResponseTimeoutMs longest response timeout
     * @param maxBackoffMs longest delay if the number of instances is not known
     * @param idleTimeoutMs idle timeout of a response that has started
     */
    public record Config(
            double callsPerSecond,
            double minInitialSpreadMs,
            double responseTimeoutMs,
            double maxResponseTimeoutMs,
            double maxBackoffMs,
            double idleTimeoutMs) {

        /** @throws IllegalArgumentException if a value is out of range */
        public Config {
            require(callsPerSecond > 0, "callsPerSecond", "over 0", callsPerSecond);
            require(minInitialSpreadMs >= 0, "minInitialSpreadMs", "0 or more", minInitialSpreadMs);
            require(responseTimeoutMs > 0, "responseTimeoutMs", "over 0", responseTimeoutMs);
            require(
                    maxResponseTimeoutMs >= responseTimeoutMs,
                    "maxResponseTimeoutMs",
                    "responseTimeoutMs (" + responseTimeoutMs + ") or more",
                    maxResponseTimeoutMs);
            require(maxBackoffMs >= MIN_DELAY_MS, "maxBackoffMs", MIN_DELAY_MS + " or more", maxBackoffMs);
            require(idleTimeoutMs > 0, "idleTimeoutMs", "over 0", idleTimeoutMs);
        }

        private static void require(boolean holds, String name, String expected, double value) {
            if (!holds) {
                throw new IllegalArgumentException(name + " must be " + expected + " but is " + value);
            }
        }
    }

    private static final double MIN_DELAY_MS = 100;
    private static final double BACKOFF_MULTIPLIER = 3;
    private static final double TIMEOUT_MULTIPLIER = 1.5;
    /** Largest relative extension of a timeout. */
    private static final double JITTER = 0.2;

    private final Config config;
    private final SplittableRandom random;
    /** Interval of this instance's calls; 0 if the number of instances is not known. */
    private final double callIntervalMs;

    private final double maxInitialDelayMs;
    private double responseTimeoutMs;
    private double backoffMs;
    /** Timeout of the last call. */
    private double lastTimeoutMs;

    /**
     * @param callers number of instances that call this service, 0 if not known
     * @param priorState the state of this instance when it starts
     * @param seed the seed of this instance
     */
    public SharedServicePollPolicy(Config config, int callers, PriorState priorState, long seed) {
        this.config = config;
        random = new SplittableRandom(seed);
        callIntervalMs = 1_000 * callers / config.callsPerSecond();
        maxInitialDelayMs = priorState.initialDelayFactor * Math.max(config.minInitialSpreadMs(), callIntervalMs);
        onSuccess();
    }

    @Override
    public synchronized double initialDelayMs() {
        double delayMs = random.nextDouble() * maxInitialDelayMs;
        assert delayMs >= 0 && delayMs <= maxInitialDelayMs : "initial delay out of range: " + delayMs + " ms";
        return delayMs;
    }

    @Override
    public synchronized double responseTimeoutMs() {
        lastTimeoutMs = responseTimeoutMs * (1 + JITTER * random.nextDouble());
        assert lastTimeoutMs > 0 && lastTimeoutMs <= config.maxResponseTimeoutMs() * (1 + JITTER)
                : "response timeout out of range: " + lastTimeoutMs + " ms";
        return lastTimeoutMs;
    }

    /**
     * If the call then times out, this timeout counts as the duration of the call unless the response timeout was
     * shorter: the response may have started immediately, so that no more time has certainly passed.
     */
    @Override
    public synchronized double idleTimeoutMs() {
        double timeoutMs = config.idleTimeoutMs() * (1 + JITTER * random.nextDouble());
        lastTimeoutMs = Math.min(lastTimeoutMs, timeoutMs);
        return timeoutMs;
    }

    @Override
    public synchronized void onSuccess() {
        responseTimeoutMs = config.responseTimeoutMs();
        backoffMs = MIN_DELAY_MS;
        lastTimeoutMs = 0;
    }

    @Override
    public synchronized double delayAfterTimeoutMs() {
        responseTimeoutMs = Math.min(config.maxResponseTimeoutMs(), TIMEOUT_MULTIPLIER * responseTimeoutMs);
        return nextDelayMs(lastTimeoutMs);
    }

    @Override
    public synchronized double delayAfterFailureMs() {
        return nextDelayMs(0);
    }

    private double nextDelayMs(double elapsedMs) {
        if (callIntervalMs > 0) {
            // The mean is constant: the interval already limits the call rate of all instances.
            double delayMs = Math.max(MIN_DELAY_MS, callIntervalMs * (0.5 + random.nextDouble()) - elapsedMs);
            assert elapsedMs + delayMs >= callIntervalMs / 2 && delayMs <= Math.max(MIN_DELAY_MS, 1.5 * callIntervalMs)
                    : "delay out of range: " + delayMs + " ms after " + elapsedMs + " ms, call interval "
                            + callIntervalMs + " ms";
            return delayMs;
        }
        // Decorrelated jitter.
        double maxMs = Math.min(config.maxBackoffMs(), BACKOFF_MULTIPLIER * backoffMs);
        backoffMs = MIN_DELAY_MS + random.nextDouble() * (maxMs - MIN_DELAY_MS);
        assert backoffMs >= MIN_DELAY_MS && backoffMs <= config.maxBackoffMs()
                : "backoff out of range: " + backoffMs + " ms";
        return backoffMs;
    }
}
