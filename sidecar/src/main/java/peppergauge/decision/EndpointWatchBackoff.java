package peppergauge.decision;

import java.util.SplittableRandom;

/** Spaces the calls for a watch of the endpoint list: a random first delay, then exponential backoff with jitter. */
final class EndpointWatchBackoff {

    /** Least base of the delays, ms. */
    private static final double MIN_BASE_MS = 500;

    /** Base of the delays for each instance of the fleet, ms. */
    private static final double BASE_PER_INSTANCE_MS = 10;

    /** Longest delay, ms. */
    private static final double MAX_DELAY_MS = 4_000;

    /** Most doublings of the base. */
    private static final int MAX_DOUBLINGS = 10;

    private final SplittableRandom random;
    private final double baseMs;
    private boolean isStarted;
    private int failures;

    EndpointWatchBackoff(int instances, SplittableRandom random) {
        this.random = random;
        this.baseMs = Math.max(MIN_BASE_MS, Math.min(MAX_DELAY_MS, BASE_PER_INSTANCE_MS * instances));
    }

    /** Resets the backoff: the watch delivered an update. */
    void onSuccess() {
        failures = 0;
    }

    /** Whether the first call was scheduled. */
    boolean isStarted() {
        return isStarted;
    }

    /** The delay before the first call, ms. */
    double firstDelayMs() {
        isStarted = true;
        return random.nextDouble() * baseMs;
    }

    /** The delay before the next call after one failed, ms: between half of the backoff and all of it. */
    double nextDelayMs() {
        double backoffMs = Math.min(MAX_DELAY_MS, baseMs * (1 << Math.min(failures++, MAX_DOUBLINGS)));
        return backoffMs * (0.5 + random.nextDouble() / 2);
    }
}
