package peppergauge.overload;

/**
 * The properties of a request by which it is admitted.
 *
 * @param id never null; only its hash is used
 * @param requestClass index of its class in the configuration
 * @param clientRetry whether the client marked it as a retry
 * @param overQuota whether its tenant is known to be over its quota
 * @param remainingMs how long the client still waits, measured from {@link EventLoopLatency#earliestArrivalMs}; may be
 *     negative
 */
public record AdmissionRequest(
        String id, int requestClass, boolean clientRetry, boolean overQuota, double remainingMs) {}
