package peppergauge.request;

import java.time.Instant;

/**
 * Milliseconds since the Unix epoch that never go backwards: the wall clock is read once, and the monotonic clock is
 * added. This makes times of the load balancer comparable with {@code started_ms} of the endpoint list. Thread-safe.
 */
public class Clock {

    private final long startNanos;
    private final double startMs;

    public Clock() {
        Instant now = Instant.now();
        startNanos = System.nanoTime();
        startMs = now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }

    /**
     * For a clock of another kind, which overrides {@link #nowMs}; reads no time. This is a class and not an interface
     * so that in a sidecar, which loads no other clock, {@link #nowMs} is called directly.
     */
    protected Clock(double startMs) {
        startNanos = 0;
        this.startMs = startMs;
    }

    /** The time, in ms since the Unix epoch. */
    public double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }
}
