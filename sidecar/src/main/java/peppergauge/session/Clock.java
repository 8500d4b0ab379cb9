package peppergauge.session;
import java.time.Instant;

/**
 * Milliseconds since the Unix epoch that never go backwards: the wall clock is read once, what follows is
 * the monotonic clock. So module time and the {@code started_ms} of the server table can be compared.
 */
public final class Clock {

    private final long startNs = System.nanoTime();
    private final double startMs;

    public Clock() {
        Instant now = Instant.now();
        startMs = now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }

    public double nowMs() {
        return startMs + (System.nanoTime() - startNs) / 1e6;
    }
}
