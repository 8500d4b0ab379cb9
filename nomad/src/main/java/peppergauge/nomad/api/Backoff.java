package peppergauge.nomad.api;

import java.util.random.RandomGenerator;

/** Exponential backoff: the delay doubles with each failure, with jitter of up to a half. Not thread-safe. */
public final class Backoff {

    /** Bound of the exponent; larger ones exceed any maximum delay. */
    private static final int MAX_DOUBLINGS = 30;

    private final double initialMs;
    private final double maxMs;
    private final RandomGenerator random;
    private int failures;

    /**
     * Creates a backoff without failures.
     *
     * @param initialMs delay after the first failure
     * @param maxMs longest delay
     */
    public Backoff(double initialMs, double maxMs, RandomGenerator random) {
        this.initialMs = initialMs;
        this.maxMs = maxMs;
        this.random = random;
    }

    /** Counts a failure and returns the delay after it, ms. */
    public double nextDelayMs() {
        double delayMs = Math.min(maxMs, initialMs * Math.pow(2, Math.min(failures++, MAX_DOUBLINGS)));
        return delayMs * (0.5 + random.nextDouble() / 2);
    }

    /** Starts again with the initial delay, after a success. */
    public void reset() {
        failures = 0;
    }

    /** Returns the number of failures since the last success. */
    public int failures() {
        return failures;
    }
}
