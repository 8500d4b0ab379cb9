package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Limits;

/**
 * Sets the queue deadlines of requests and the Retry-After times of rejections. Does not reject requests itself.
 *
 * <p>Inputs are the request's times, ms, and the mean idle latency. Results are the queue deadline, after which a
 * pending request is sent to an idle server or rejected, and the Retry-After time, ms. A client that is rejected early
 * can still be served in time when it retries, while one that is rejected after a long wait displaces new requests.
 */
final class LoadShedding {

    /** Time that an attempt needs to succeed, in mean service times of its request class. */
    private static final double MIN_SERVICE_TIME_MULTIPLE = 1.2;

    /** Time in which a rejected client can wait, retry and be served, in minimum service times. */
    static final double RETURN_SERVICE_TIME_MULTIPLE = 4;

    private final Limits limits;
    private final LatencyEstimator latency;

    LoadShedding(Limits limits, LatencyEstimator latency) {
        this.limits = limits;
        this.latency = latency;
    }

    /** Estimated time that an attempt of the request needs to succeed, from the mean idle latency for its class, ms. */
    double minServiceMs(Request request, double nowMs) {
        return MIN_SERVICE_TIME_MULTIPLE * latency.meanIdleMs(nowMs) * request.classStats.latencyFactor;
    }

    /** The last moment at which a pending request may be sent, ms. */
    double queueDeadlineMs(Request request, double nowMs) {
        double serviceMs = minServiceMs(request, nowMs);
        double lastMs = request.usefulUntilMs() - serviceMs;
        boolean mayRetryInTime = canRetryInTime(request, request.arrivedMs, nowMs);
        return mayRetryInTime ? Math.min(lastMs, request.arrivedMs + serviceMs) : lastMs;
    }

    /**
     * Until when a pending request may wait after its queue deadline, ms; {@code nowMs} if no longer. Before the first
     * response the service time is only assumed, which is no reason to reject a request that can still be served.
     */
    double extendedQueueDeadlineMs(Request request, double nowMs) {
        if (latency.isMeasured()) {
            return nowMs;
        }
        double serviceMs = minServiceMs(request, nowMs);
        return Math.max(nowMs, Math.min(request.usefulUntilMs() - serviceMs, nowMs + serviceMs));
    }

    /** Whether a client that is rejected at {@code rejectedMs} can retry and be served in time. */
    private boolean canRetryInTime(Request request, double rejectedMs, double nowMs) {
        double serviceMs = minServiceMs(request, nowMs);
        double remainingMs = request.usefulUntilMs() - rejectedMs;
        return limits.retryAfter() && remainingMs > RETURN_SERVICE_TIME_MULTIPLE * serviceMs;
    }

    /**
     * The Retry-After time of a request that is rejected now, ms; 0 for none. It is one service time. If the client
     * cannot retry in time, or the request may have broken a server, it is the time until the client gives up.
     */
    double retryAfterMs(Request request, double nowMs) {
        double untilClientDeadlineMs = request.clientDeadlineMs - nowMs;
        boolean mayRetrySoon = canRetryInTime(request, nowMs, nowMs) && !request.hasBrokenAttempt();
        double waitMs = mayRetrySoon ? MIN_SERVICE_TIME_MULTIPLE * latency.meanIdleMs(nowMs) : untilClientDeadlineMs;
        double retryAfterMs = limits.retryAfter() ? Math.min(limits.maxRetryAfterMs(), waitMs) : 0;
        return Math.max(0, retryAfterMs);
    }
}
