package peppergauge.decision;

/**
 * Decides when an attempt is given up on so that the request can go to another server: when half of its time has passed
 * and the server has been silent for several times the usual latency.
 */
final class AttemptTimeout {

    private final LatencyEstimator latency;
    private final LoadShedding loadShedding;

    AttemptTimeout(LatencyEstimator latency, LoadShedding loadShedding) {
        this.latency = latency;
        this.loadShedding = loadShedding;
    }

    /** When a request that is sent now should be looked at again, ms; infinite if no time would be left for another. */
    double dueMs(Request request, double nowMs) {
        double halfMs = (request.objectiveMs - nowMs) / 2;
        double silentMs =
                LatencyEstimator.SILENT_LATENCIES * latency.latency.mean(nowMs) * request.classStats.latencyFactor;
        double dueMs = nowMs + Math.max(halfMs, silentMs);
        double serviceMs = loadShedding.minServiceMs(request, nowMs);
        return dueMs + serviceMs < request.objectiveMs ? dueMs : Double.POSITIVE_INFINITY;
    }

    /** Whether an open attempt is to be cancelled when the request is looked at. */
    boolean isOverdue(Request request, Request.Attempt attempt, double nowMs) {
        return attempt.isOpen() && !request.isClosed && !request.isStreaming && latency.isOverdue(attempt, nowMs);
    }
}
