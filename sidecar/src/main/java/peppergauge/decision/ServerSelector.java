package peppergauge.decision;

import java.util.List;

/**
 * Selects the server for an attempt by weighted random choice among the eligible servers.
 *
 * <p>A server is eligible if the retry policy permits it, it is not ejected, its concurrency limit is not reached, and
 * its expected latency is within the request's remaining time and not congested. Servers to which the request was not
 * sent yet take precedence, and so do servers of preferred zones while at least one of them is not failing.
 */
final class ServerSelector {

    /** Estimated requests in flight below which a server counts as idle. */
    private static final double IDLE_IN_FLIGHT = 0.5;

    private final ServerSubset subset;
    private final ServerWeights weights;
    private final RetryPolicy retryPolicy;
    private final SlowStart slowStart;
    private final ConcurrencyLimiter limiter;
    private final LatencyEstimator latency;
    private final ZoneWeights zoneWeights;
    private final WeightedRandomPicker picker;

    ServerSelector(
            ServerSubset subset,
            ServerWeights weights,
            RetryPolicy retryPolicy,
            SlowStart slowStart,
            ConcurrencyLimiter limiter,
            LatencyEstimator latency,
            ZoneWeights zoneWeights,
            WeightedRandomPicker picker) {
        this.subset = subset;
        this.weights = weights;
        this.retryPolicy = retryPolicy;
        this.slowStart = slowStart;
        this.limiter = limiter;
        this.latency = latency;
        this.zoneWeights = zoneWeights;
        this.picker = picker;
    }

    /**
     * Selects a server for the request.
     *
     * @param acceptsAnyIdleServer whether idle servers are eligible whatever their expected latency, and no others
     * @return null if no server is eligible
     */
    Server select(Request request, boolean acceptsAnyIdleServer, double nowMs) {
        weights.refresh(nowMs);
        if (limiter.isAtInstanceLimit(nowMs) || !retryPolicy.permitsAttempt(request, nowMs)) {
            return null;
        }
        markEligible(request, acceptsAnyIdleServer, nowMs);
        if (!weights.compute()) {
            return null;
        }
        int index = picker.pick(weights.weights(), subset.size());
        return index < 0 ? null : subset.members().get(index);
    }

    private void markEligible(Request request, boolean acceptsAnyIdleServer, double nowMs) {
        List<Server> members = subset.members();
        double remainingMs = request.remainingMs(nowMs);
        double meanIdleMs = latency.meanIdleMs(nowMs);
        double congestedMs = congestedLatencyMs(request, meanIdleMs);
        boolean hasUntried = false;
        boolean hasPreferred = false;
        for (Server server : members) {
            double slowdown = Math.max(1, server.idleLatencyMs / meanIdleMs);
            server.isEligible = isAvailable(request, server, nowMs)
                    && (acceptsAnyIdleServer
                            ? server.inFlight < IDLE_IN_FLIGHT
                            : server.expectedLatencyMs <= Math.min(remainingMs, slowdown * congestedMs));
            boolean isUntried = server.isEligible && !request.wasSentTo(server);
            hasUntried |= isUntried;
            hasPreferred |= isUntried
                    && !OutlierDetection.isFailing(server, weights.bestSuccessScore())
                    && zoneWeights.isPreferred(request, server);
        }
        for (Server server : members) {
            server.isEligible = server.isEligible
                    && !(hasUntried && request.wasSentTo(server))
                    && (!hasPreferred || zoneWeights.isPreferred(request, server));
        }
    }

    private boolean isAvailable(Request request, Server server, double nowMs) {
        return retryPolicy.permitsServer(request, server, nowMs)
                && slowStart.mayReceive(request, server)
                && !OutlierDetection.isEjected(server, nowMs)
                && server.ownInFlight < server.concurrencyLimit;
    }

    /** Expected latency of a mean request above which a server of mean speed is congested, ms. */
    private double congestedLatencyMs(Request request, double meanIdleMs) {
        return Math.max(
                request.isOverQuota ? 0 : LatencyEstimator.UNCONGESTED_MULTIPLE * latency.unloadedMs(),
                LatencyEstimator.MIN_UNCONGESTED_MULTIPLE * meanIdleMs);
    }
}
