package peppergauge.plugin.rules;

/**
 * Limits the elapsed time of all calls of a plug-in on its threads together, as a token bucket: a plug-in whose calls
 * each stay just within their budget could otherwise use all CPU time of the sidecar. Not thread-safe.
 */
public final class ThreadTimeLimiter {

    private final double share;
    private final double capacityMs;
    private double availableMs;
    private double refilledAtMs = Double.NaN;

    /**
     * @param share elapsed time of calls over wall-clock time, above 0 and up to 1
     * @param capacityMs elapsed time that can be accumulated, ms
     */
    public ThreadTimeLimiter(double share, double capacityMs) {
        this.share = share;
        this.capacityMs = capacityMs;
        this.availableMs = capacityMs;
    }

    /** Whether a call may start now. Its duration is charged at its end, so the available time can become negative. */
    public boolean tryAdmit(double nowMs) {
        if (!Double.isNaN(refilledAtMs)) {
            availableMs = Math.min(capacityMs, availableMs + share * Math.max(0, nowMs - refilledAtMs));
        }
        refilledAtMs = nowMs;
        return availableMs > 0;
    }

    /** Subtracts the duration of a call. */
    public void charge(double tookMs) {
        availableMs -= tookMs;
    }
}
