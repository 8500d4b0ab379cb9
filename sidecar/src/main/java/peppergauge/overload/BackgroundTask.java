package peppergauge.overload;

/**
 * Work that can wait, what can wait longest first. One stops from a depth on and comes back once that depth was not
 * reached for a while: what stops first comes back last, so that the work which comes back does not bring the overload
 * with it.
 */
public enum BackgroundTask {
    /** Requests to oneself that warm the Java machine up. */
    JVM_WARM_UP(OverloadLevel.TRANSIENT_QUEUE, 2_000),
    /** Closing what is idle before there is a lack of room. */
    IDLE_CONNECTION_SWEEP(OverloadLevel.STANDING_QUEUE, 1_000),
    /** Probes and surveys of backend servers. */
    HEALTH_CHECK(OverloadLevel.SHEDDING, 500),
    /** Lines for the people on call, but the first of each kind. */
    FULL_LOGGING(OverloadLevel.SEVERE, 250);

    final OverloadLevel suspendedFrom;
    final double resumeAfterMs;

    BackgroundTask(OverloadLevel stopsAt, double backAfterMs) {
        this.suspendedFrom = stopsAt;
        this.resumeAfterMs = backAfterMs;
    }
}
