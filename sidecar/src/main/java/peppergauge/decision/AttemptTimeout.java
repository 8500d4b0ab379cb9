package peppergauge.decision;

/**
 * Decides when an attempt is cancelled so that the request can be retried on another server: when half of the time
 * until the latency objective has passed and the server has sent no response for several times the mean latency.
 */
final class AttemptTimeout {

    private final LatencyEstimator latency;
    private final LoadShedding loadShedding;

    AttemptTimeout(LatencyEstimator latency, LoadShedding loadShedding) {
        this.latency = latency;
        this.loadShedding = loadShedding;
    }

    /** When an attempt that is sent now is checked, ms; infinite if no time would be left for another attempt. */
    double dueMs(Request request, double nowMs) {
        double halfMs = (request.objectiveMs - nowMs) / 2;
        double silenceMs = LatencyEstimator.SILENCE_LATENCY_MULTIPLE
                * latency.latency.mean(nowMs)
                * request.classStats.latencyFactor;
        double dueMs = nowMs + Math.max(halfMs, silenceMs);
        double serviceMs = loadShedding.minServiceMs(request, nowMs);
        return dueMs + serviceMs < request.objectiveMs ? dueMs : Double.POSITIVE_INFINITY;
    }

    /** Whether an attempt must be cancelled when it is checked. */
    boolean isOverdue(Request request, Request.Attempt attempt, double nowMs) {
        return attempt.isOpen() && !request.isClosed && !request.isStreaming && latency.isOverdue(attempt, nowMs);
    }
}
