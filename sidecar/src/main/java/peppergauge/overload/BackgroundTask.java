package peppergauge.overload;

/**
 * Work that is suspended during overload. Tasks that are suspended at a lower level resume later, so that not all tasks
 * resume at the same time.
 */
public enum BackgroundTask {
    /** Requests of this program to itself before it is ready. */
    JVM_WARM_UP(OverloadLevel.TRANSIENT_QUEUE, 2_000),
    /** Closing idle connections before the limit of connections is reached. */
    IDLE_CONNECTION_SWEEP(OverloadLevel.STANDING_QUEUE, 1_000),
    /** Health checks of backend servers. */
    HEALTH_CHECK(OverloadLevel.SHEDDING, 500),
    /** Log lines beyond the first of each event and second. */
    FULL_LOGGING(OverloadLevel.SEVERE, 250);

    final OverloadLevel suspendedFrom;
    final double resumeAfterMs;

    /**
     * @param suspendedFrom the lowest level at which the task is suspended
     * @param resumeAfterMs how long the level must have been lower before the task resumes
     */
    BackgroundTask(OverloadLevel suspendedFrom, double resumeAfterMs) {
        this.suspendedFrom = suspendedFrom;
        this.resumeAfterMs = resumeAfterMs;
    }
}
