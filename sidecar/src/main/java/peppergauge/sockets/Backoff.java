package peppergauge.sockets;

/** Pauses between tries of a system call that fails: short at first, then doubled up to a maximum. */
final class Backoff {

    private final long firstMs;
    private final long maxMs;
    private long nextMs;
    private int failures;

    Backoff(long firstMs, long maxMs) {
        this.firstMs = firstMs;
        this.maxMs = maxMs;
        this.nextMs = firstMs;
    }

    /** Counts a failure and returns how long to wait before the next try, ms. */
    long onFailure() {
        failures++;
        long pauseMs = nextMs;
        nextMs = Math.min(maxMs, Math.max(1, nextMs * 2));
        return pauseMs;
    }

    /** Starts anew after a success. */
    void onSuccess() {
        failures = 0;
        nextMs = firstMs;
    }

    /** Number of failures since the last success. */
    int failures() {
        return failures;
    }
}
