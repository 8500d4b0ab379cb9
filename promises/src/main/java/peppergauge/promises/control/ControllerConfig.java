package peppergauge.promises.control;

/**
 * Configuration of the {@link ZoneWeightController}.
 *
 * @param periodMs time between two decisions, ms
 * @param maxShareStep most that a tenant's planned share of a zone changes in a period, above 0 and at most 1
 * @param staleAfterMs time without any new request after which a zone counts as lost, ms
 */
public record ControllerConfig(long periodMs, double maxShareStep, long staleAfterMs) {

    /** Configuration for objectives with windows of minutes. */
    public static final ControllerConfig DEFAULT = new ControllerConfig(5_000, 0.08, 20_000);

    private static final int MIN_PERIODS_UNTIL_STALE = 4;

    /** @throws IllegalArgumentException if a value is out of range */
    public ControllerConfig {
        if (periodMs <= 0 || !(maxShareStep > 0 && maxShareStep <= 1) || staleAfterMs < periodMs) {
            throw new IllegalArgumentException(
                    "expected a period above 0 ms, a share step above 0 up to 1 and a stale time of at least the"
                            + " period but was periodMs=" + periodMs + ", maxShareStep=" + maxShareStep
                            + ", staleAfterMs=" + staleAfterMs);
        }
    }

    /** Returns the default configuration for a period. */
    public static ControllerConfig withPeriod(long periodMs) {
        long staleAfterMs = Math.max(DEFAULT.staleAfterMs, MIN_PERIODS_UNTIL_STALE * periodMs);
        return new ControllerConfig(periodMs, DEFAULT.maxShareStep, staleAfterMs);
    }
}
