package peppergauge.overload;

/**
 * The properties of a request that its admission depends on.
 *
 * @param id never null; only its hash is used
 * @param requestClass index of the request class in the configuration
 * @param clientRetry whether the client marked the request as a retry
 * @param overQuota whether the tenant is known to exceed its quota
 * @param remainingMs how long the client still waits, measured from {@link EventLoopLatency#earliestArrivalMs}; may be
 *     negative
 */
public record AdmissionRequest(
        String id, int requestClass, boolean clientRetry, boolean overQuota, double remainingMs) {}
