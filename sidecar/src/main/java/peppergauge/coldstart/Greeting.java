package peppergauge.coldstart;

/**
 * The pace at which a sidecar that starts opens connections to backend servers, so that hundreds that start at once do
 * not do all their handshakes in one second and meet servers that are cold themselves. A bucket of openings: the first
 * few are free, and each further one waits for its turn. No opening waits longer than a bound, for behind each stands a
 * session; past that the pace is broken rather than the session's time.
 *
 * <p>Which server is greeted is the module's draw: it knows which are cold, near or silent, and lets out only a few
 * sessions until a first one answers. This bounds no more than how many of them are new connections.
 */
public final class Greeting {

    /**
     * @param handshakesPerS that all sidecars together make at most while they start, as a mean, over 0
     * @param free openings before the pace holds, at least 1
     * @param holdMs the longest that an opening waits
     * @param lengthMs how long after the start the pace holds
     */
    public record Settings(double handshakesPerS, int free, double holdMs, double lengthMs) {

        public Settings {
            if (!(handshakesPerS > 0) || free < 1 || holdMs < 0 || lengthMs < 0) {
                throw new IllegalArgumentException("not a pace: handshakes a second " + handshakesPerS + ", free "
                        + free + ", hold " + holdMs + ", length " + lengthMs);
            }
        }
    }

    /** Of the openings a second, for one sidecar where their number is not known. */
    private static final double UNKNOWN_SHARE = 0.01;

    private final Settings settings;
    private final double perMs;
    private double places;
    private double atMs;
    private final double untilMs;

    /** {@code sidecars}: how many there are, 0 where that is not known. {@code nowMs}: the start. */
    public Greeting(Settings settings, int sidecars, double nowMs) {
        this.settings = settings;
        perMs = settings.handshakesPerS() * (sidecars > 0 ? 1.0 / sidecars : UNKNOWN_SHARE) / 1_000;
        places = settings.free();
        atMs = nowMs;
        untilMs = nowMs + settings.lengthMs();
    }

    /** How long the opening that is wanted now waits, ms; 0: not at all. It is taken for done. */
    public double openMs(double nowMs) {
        if (nowMs >= untilMs) {
            return 0;
        }
        // A clock that goes backward gives no places, and takes none.
        places = Math.min(settings.free(), places + Math.max(0, nowMs - atMs) * perMs);
        atMs = nowMs;
        double waitMs = places >= 1 ? 0 : Math.min(settings.holdMs(), (1 - places) / perMs);
        // What the bound on waiting lets through early is not owed later, or the debt would grow without end.
        places = Math.max(places - 1, -settings.holdMs() * perMs);
        return waitMs;
    }
}
