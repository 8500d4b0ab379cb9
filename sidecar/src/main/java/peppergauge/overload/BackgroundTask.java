package peppergauge.overload;

/**
 * Work that can wait, what can wait longest first. One stops from a depth on and comes back once that depth was not
 * reached for a while: what stops first comes back last, so that the work which comes back does not bring the overload
 * with it.
 */
public enum BackgroundTask {
    /** Requests to oneself that warm the Java machine up. */
    REHEARSAL(OverloadLevel.BRIEF, 2_000),
    /** Closing what is idle before there is a lack of room. */
    IDLE_SWEEP(OverloadLevel.STANDING, 1_000),
    /** Probes and surveys of backend servers. */
    SURVEY(OverloadLevel.SHEDDING, 500),
    /** Lines for the people on call, but the first of each kind. */
    LOG(OverloadLevel.DEEP, 250);

    final OverloadLevel stopsAt;
    final double backAfterMs;

    BackgroundTask(OverloadLevel stopsAt, double backAfterMs) {
        this.stopsAt = stopsAt;
        this.backAfterMs = backAfterMs;
    }
}
