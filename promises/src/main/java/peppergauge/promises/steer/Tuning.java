package peppergauge.promises.steer;

/**
 * Figures of the decision.
 *
 * @param periodMs how often it is asked, ms
 * @param step most that a station's share of a data centre changes in a period, 0 to 1
 * @param staleMs without any new session for so long the evidence is stale, and steering fades, ms
 */
public record Tuning(long periodMs, double step, long staleMs) {

    /** For windows of minutes: a move is over within a minute. */
    public static final Tuning USUAL = new Tuning(5_000, 0.08, 20_000);

    /** The usual figures where a decision is asked for as often as that. */
    public static Tuning every(long periodMs) {
        return new Tuning(periodMs, USUAL.step, Math.max(USUAL.staleMs, 4 * periodMs));
    }

    public Tuning {
        if (periodMs <= 0 || !(step > 0 && step <= 1) || staleMs < periodMs) {
            throw new IllegalArgumentException(
                    "period, step or stale out of range: " + periodMs + ", " + step + ", " + staleMs);
        }
    }
}
