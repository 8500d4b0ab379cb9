package peppergauge.request;

import java.time.Instant;

/**
 * Milliseconds since the Unix epoch that never go backwards: the wall clock is read once, and the monotonic clock is
 * added. This makes times of the load balancer comparable with {@code started_ms} of the endpoint list. Thread-safe.
 */
public class Clock {

    /** Smaller differences are the wall clock's adjustment to others, and do not matter to the age of a process. */
    private static final double MIN_STEP_MS = 500;

    private final long startNanos;
    private final double startMs;
    /** Whether the wall clock and the monotonic clock are those of the machine. */
    private final boolean isMachineClock;

    public Clock() {
        isMachineClock = true;
        startMs = wallMs();
        startNanos = System.nanoTime();
    }

    /**
     * For a clock of another kind, which overrides {@link #nowMs}; reads no time. This is a class and not an interface
     * so that in a sidecar, which loads no other clock, {@link #nowMs} is called directly.
     */
    protected Clock(double startMs) {
        startNanos = 0;
        isMachineClock = false;
        this.startMs = startMs;
    }

    /**
     * By how much the wall clock has been stepped since this clock was created, ms; 0 if it was not. A wall-clock time
     * of now less this is comparable with {@link #nowMs}.
     */
    public double wallStepMs() {
        if (!isMachineClock) {
            return 0;
        }
        double stepMs = wallMs() - nowMs();
        return Math.abs(stepMs) < MIN_STEP_MS ? 0 : stepMs;
    }

    private static double wallMs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }

    /** The time, in ms since the Unix epoch. */
    public double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }
}
