package peppergauge.request;

import java.time.Instant;

/**
 * Milliseconds since the Unix epoch that never go backwards: the wall clock is read once, what follows is
 * the monotonic clock. So module time and the {@code started_ms} of the server table can be compared.
 */
public class Clock {

    private final long startNs;
    private final double startMs;

    public Clock() {
        Instant now = Instant.now();
        startNs = System.nanoTime();
        startMs = now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }

    /** For a clock of another kind, which overrides {@link #nowMs}; reads no time. A class, since in a sidecar, where
     * no such clock is loaded, the compiler then calls this one's method directly. */
    protected Clock(double startMs) {
        startNs = 0;
        this.startMs = startMs;
    }

    public double nowMs() {
        return startMs + (System.nanoTime() - startNs) / 1e6;
    }
}
