package peppergauge.decision;

import java.util.SplittableRandom;

/** Delays calls that open a watch of the endpoint list: at first at random, then by exponential backoff with jitter. */
final class EndpointWatchBackoff {

    /** Lower bound of the backoff base, ms. */
    private static final double MIN_BASE_MS = 500;

    /** Backoff base for each sidecar instance, ms, so that many instances spread their calls. */
    private static final double BASE_PER_INSTANCE_MS = 10;

    /** Upper bound of the backoff, ms. */
    private static final double MAX_DELAY_MS = 4_000;

    /** Maximum number of doublings of the base. */
    private static final int MAX_DOUBLINGS = 10;

    private final SplittableRandom random;
    private final double baseMs;
    private boolean isStarted;
    private int failures;

    EndpointWatchBackoff(int instances, SplittableRandom random) {
        this.random = random;
        this.baseMs = Math.max(MIN_BASE_MS, Math.min(MAX_DELAY_MS, BASE_PER_INSTANCE_MS * instances));
    }

    /** Resets the backoff after the watch delivered an update. */
    void onSuccess() {
        failures = 0;
    }

    /** Whether the first call has been scheduled. */
    boolean isStarted() {
        return isStarted;
    }

    /** The delay before the first call, ms. */
    double firstDelayMs() {
        isStarted = true;
        return random.nextDouble() * baseMs;
    }

    /** The delay before the next call after a failed one, ms: between half of the backoff and the whole backoff. */
    double nextDelayMs() {
        double backoffMs = Math.min(MAX_DELAY_MS, baseMs * (1 << Math.min(failures++, MAX_DOUBLINGS)));
        return backoffMs * (0.5 + random.nextDouble() / 2);
    }
}
