package peppergauge.decision;

import java.util.List;

/**
 * Selects the server for an attempt: a weighted random draw among the servers that may take it.
 *
 * <p>A server may take an attempt if the rules permit it, it is not ejected, its limits leave capacity, and its expected
 * latency is within the request's time and not congested. Servers that the request was not sent to yet go before the
 * others, and so do servers of preferred zones as long as one of them is sound.
 */
final class ServerSelector {

    /** In-flight estimate up to which a server counts as idle. */
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
     * @param isLastCall whether any idle server will do, whatever its expected latency
     * @return null if no server may take the request now
     */
    Server select(Request request, boolean isLastCall, double nowMs) {
        weights.refresh(nowMs);
        if (limiter.isAtInstanceLimit(nowMs)) {
            return null;
        }
        markEligible(request, isLastCall, nowMs);
        if (!weights.compute()) {
            return null;
        }
        int index = picker.pick(weights.weights(), subset.size());
        return index < 0 ? null : subset.members().get(index);
    }

    private void markEligible(Request request, boolean isLastCall, double nowMs) {
        List<Server> members = subset.members();
        double congestedMs = congestedLatencyMs(request, nowMs);
        boolean hasUntried = false;
        boolean hasPreferred = false;
        for (Server server : members) {
            server.isEligible = mayTake(request, server, congestedMs, isLastCall, nowMs);
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

    private boolean mayTake(Request request, Server server, double congestedMs, boolean isLastCall, double nowMs) {
        return retryPolicy.permitsAttempt(request, server, nowMs)
                && slowStart.mayReceive(request, server)
                && !OutlierDetection.isEjected(server, nowMs)
                && server.ownInFlight < server.concurrencyLimit
                && (isLastCall
                        ? server.inFlight < IDLE_IN_FLIGHT
                        : server.expectedLatencyMs
                                <= Math.min(request.remainingMs(nowMs), slowdown(server, nowMs) * congestedMs));
    }

    /** Expected latency, for a mean request at a mean server, above which a server is congested, ms. */
    private double congestedLatencyMs(Request request, double nowMs) {
        return Math.max(
                request.isOverQuota ? 0 : LatencyEstimator.UNCONGESTED_MULTIPLE * latency.unloadedMs(),
                LatencyEstimator.MIN_UNCONGESTED_MULTIPLE * latency.meanIdleMs(nowMs));
    }

    /** A server's idle latency in means of the fleet's, 1 or more. */
    private double slowdown(Server server, double nowMs) {
        return Math.max(1, server.idleLatencyMs / latency.meanIdleMs(nowMs));
    }
}
