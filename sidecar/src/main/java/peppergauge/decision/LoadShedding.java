package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Limits;

/**
 * Decides how long a request may wait for a server, and when a rejected client should return.
 *
 * <p>Inputs are the request's times, ms, and the mean idle latency. Results are the moment of the last call, after which
 * a waiting request is rejected, and the Retry-After time, ms. A client that is rejected early and returns can
 * still be served in time, while one that waits long and then returns takes the place of new requests.
 */
final class LoadShedding {

    /** Service times of a request class that an attempt needs to be of use. */
    private static final double MIN_SERVICE_TIMES = 1.2;

    /** Service times in which a wait, a client's pause and a service fit. */
    static final double RETURN_SERVICE_TIMES = 4;

    private final Limits limits;
    private final LatencyEstimator latency;

    LoadShedding(Limits limits, LatencyEstimator latency) {
        this.limits = limits;
        this.latency = latency;
    }

    /** The time that an attempt of the request needs at the least, ms. */
    double minServiceMs(Request request, double nowMs) {
        return MIN_SERVICE_TIMES * latency.meanIdleMs(nowMs) * request.classStats.latencyFactor;
    }

    /** The last moment at which a waiting request may be sent, ms. */
    double lastCallMs(Request request, double nowMs) {
        double serviceMs = minServiceMs(request, nowMs);
        double lastMs = request.usefulUntilMs() - serviceMs;
        boolean isBrief = canReturnInTime(request, request.arrivedMs, nowMs);
        return isBrief ? Math.min(lastMs, request.arrivedMs + serviceMs) : lastMs;
    }

    /** Whether a client that is rejected at {@code sinceMs} can return and be served in time. */
    private boolean canReturnInTime(Request request, double sinceMs, double nowMs) {
        double serviceMs = minServiceMs(request, nowMs);
        double leftMs = request.usefulUntilMs() - sinceMs;
        return limits.retryAfter() && leftMs > RETURN_SERVICE_TIMES * serviceMs;
    }

    /**
     * The Retry-After time for a request that is rejected now, ms: a service time, or the time until the client stops
     * trying if it cannot return in time or its request broke a server; 0 gives no advice.
     */
    double retryAfterMs(Request request, double nowMs) {
        double goneMs = request.clientGoneMs - nowMs;
        boolean isSoon = canReturnInTime(request, nowMs, nowMs) && !request.hasBrokenAttempt();
        double waitMs = isSoon ? MIN_SERVICE_TIMES * latency.meanIdleMs(nowMs) : goneMs;
        double adviceMs = limits.retryAfter() ? Math.min(limits.maxRetryAfterMs(), waitMs) : 0;
        return Math.max(0, adviceMs);
    }
}
