package peppergauge.plugin.rules;

import java.util.OptionalDouble;

/**
 * Stops calling a plug-in for an increasing time after repeated failures. Each failure costs a request its wait for the
 * budget, a stopped call and a new instance. Not thread-safe.
 */
public final class CircuitBreaker {

    private static final double FAILURE_WINDOW_MS = 10_000;
    private static final double MIN_OPEN_MS = 1_000;
    private static final double MAX_OPEN_MS = 300_000;
    /** After this time without being open, the circuit breaker opens for the minimum again. */
    private static final double RESET_AFTER_MS = 600_000;

    private final int failureThreshold;
    private int failures;
    private double windowStartMs = Double.NEGATIVE_INFINITY;
    private double openUntilMs = Double.NEGATIVE_INFINITY;
    private double nextOpenMs = MIN_OPEN_MS;
    private boolean isHalfOpen;

    /** @param failureThreshold failures within 10 s that open the circuit breaker; at least 1 */
    public CircuitBreaker(int failureThreshold) {
        this.failureThreshold = failureThreshold;
    }

    /** Whether the plug-in must not be called now. */
    public boolean isOpen(double nowMs) {
        return nowMs < openUntilMs;
    }

    /** Returns for how long the circuit breaker opens, ms, if this failure opens it. */
    public OptionalDouble recordFailure(double nowMs) {
        if (isOpen(nowMs)) {
            return OptionalDouble.empty();
        }
        if (nowMs - windowStartMs > FAILURE_WINDOW_MS) {
            windowStartMs = nowMs;
            failures = 0;
        }
        if (++failures < failureThreshold) {
            return OptionalDouble.empty();
        }
        if (nowMs - openUntilMs > RESET_AFTER_MS) {
            nextOpenMs = MIN_OPEN_MS;
        }
        double openMs = nextOpenMs;
        openUntilMs = nowMs + openMs;
        nextOpenMs = Math.min(MAX_OPEN_MS, 2 * nextOpenMs);
        // In the 10 s after it was open one failure suffices, unless a success closed it before, so that a broken
        // plug-in does not cost the full threshold each time.
        failures = failureThreshold - 1;
        windowStartMs = openUntilMs;
        isHalfOpen = true;
        return OptionalDouble.of(openMs);
    }

    /** Closes a half-open circuit breaker if it has been half-open for more than a second. */
    public void recordSuccess(double nowMs) {
        if (isHalfOpen && nowMs - openUntilMs > MIN_OPEN_MS) {
            isHalfOpen = false;
            failures = 0;
        }
    }
}
