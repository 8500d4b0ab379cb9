package peppergauge.overload;

/**
 * A session as admission sees it.
 *
 * @param id its id, never null; only its hash counts
 * @param requestClass the class's place in the settings, from 0
 * @param clientRetry whether the client marks it as a retry
 * @param overShare whether its tenant is known to be over its share
 * @param remainingMs how long the client still waits, from now, reckoned from {@link EventLoopLatency#earliestArrivalMs}; may
 *     be negative
 */
public record AdmissionRequest(
        String id, int requestClass, boolean clientRetry, boolean overQuota, double remainingMs) {}
