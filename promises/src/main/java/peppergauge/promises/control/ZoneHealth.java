package peppergauge.promises.control;

/**
 * Health of one zone for one tenant, with hysteresis: an unhealthy zone stays so for a tenth of the objective's window
 * at least, and for twice as long each time that it fails again within a window.
 *
 * @param unhealthy whether the zone misses the tenant's objectives
 * @param holdUntilMs time before which it does not become healthy, Unix ms
 * @param changedMs time of the last change, Unix ms
 * @param flapCount times that it became unhealthy again within a window, 0 to {@value #MAX_FLAP_COUNT}
 */
record ZoneHealth(boolean unhealthy, long holdUntilMs, long changedMs, int flapCount) {

    static final ZoneHealth HEALTHY = new ZoneHealth(false, Long.MIN_VALUE, Long.MIN_VALUE / 2, 0);
    private static final int MAX_FLAP_COUNT = 4;
    /** Divisor of the window length that gives the minimum time for which a zone stays unhealthy. */
    private static final int HOLD_DIVISOR = 10;

    ZoneHealth markUnhealthy(long nowMs, long windowMs) {
        boolean withinWindow = nowMs - changedMs < windowMs;
        int count = withinWindow && changedMs > 0 ? Math.min(MAX_FLAP_COUNT, flapCount + 1) : 0;
        assert count >= 0 && count <= MAX_FLAP_COUNT
                : "expected a flap count from 0 to " + MAX_FLAP_COUNT + " but was " + count;
        return new ZoneHealth(true, nowMs + (windowMs / HOLD_DIVISOR << count), nowMs, count);
    }

    ZoneHealth markHealthy(long nowMs) {
        return new ZoneHealth(false, holdUntilMs, nowMs, flapCount);
    }

    /** Returns the one that changed last; of two changes at the same time, the unhealthy one. */
    static ZoneHealth latest(ZoneHealth one, ZoneHealth other) {
        if (one.changedMs != other.changedMs) {
            return one.changedMs > other.changedMs ? one : other;
        }
        if (one.unhealthy != other.unhealthy) {
            return one.unhealthy ? one : other;
        }
        if (one.holdUntilMs != other.holdUntilMs) {
            return one.holdUntilMs > other.holdUntilMs ? one : other;
        }
        return one.flapCount >= other.flapCount ? one : other;
    }
}
