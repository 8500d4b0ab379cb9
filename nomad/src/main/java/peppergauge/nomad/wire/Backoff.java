package peppergauge.nomad.wire;

import java.util.random.RandomGenerator;

/**
 * Waits between failures: doubling, and each drawn between half and all of its length, so that sidecars that failed
 * together do not come back together.
 */
public final class Backoff {

    private final double firstMs;
    private final double longestMs;
    private final RandomGenerator random;
    private int failures;

    public Backoff(double firstMs, double longestMs, RandomGenerator random) {
        this.firstMs = firstMs;
        this.longestMs = longestMs;
        this.random = random;
    }

    /** The wait after one more failure, ms. */
    public double failed() {
        double most = Math.min(longestMs, firstMs * Math.pow(2, Math.min(failures++, 30)));
        return most * (0.5 + random.nextDouble() / 2);
    }

    public void worked() {
        failures = 0;
    }

    public int failures() {
        return failures;
    }
}
