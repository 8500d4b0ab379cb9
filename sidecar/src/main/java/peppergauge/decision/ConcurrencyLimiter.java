package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Settings;

/**
 * Limits own attempts in flight, at each server and for the whole instance.
 *
 * <p>A limit is the number of attempts that a rate keeps in flight at the unloaded latency (Little's law), with slack
 * in proportion to its square root. It binds before latencies rise.
 */
final class ConcurrencyLimiter {

    /** Least limit of a server. */
    private static final double MIN_SERVER_LIMIT = 2;

    /** Least limit of an instance, at one server for each instance; more servers give more. */
    private static final double MIN_INSTANCE_LIMIT = 4;

    /** Slack of a limit, in square roots of the attempts in flight. */
    private static final double SLACK_ROOTS = 2;

    /** A server's in-flight requests are taken for own ones up to this multiple of the own ones. */
    private static final double MOSTLY_OWN_MULTIPLE = 2;

    private final Settings settings;
    private final ServerRegistry registry;
    private final ServerSubset subset;
    private final ArrivalRate arrivalRate;
    private final LatencyEstimator latency;
    private int inFlight;

    ConcurrencyLimiter(
            Settings settings,
            ServerRegistry registry,
            ServerSubset subset,
            ArrivalRate arrivalRate,
            LatencyEstimator latency) {
        this.settings = settings;
        this.registry = registry;
        this.subset = subset;
        this.arrivalRate = arrivalRate;
        this.latency = latency;
    }

    /** Counts an attempt as in flight. */
    void onSent(Request.Attempt attempt) {
        attempt.server.openAttempts.add(attempt);
        inFlight++;
    }

    /** Counts an attempt as no longer in flight: it ended, or its response streams. May be called twice. */
    void onEnded(Request.Attempt attempt) {
        inFlight -= attempt.server.openAttempts.remove(attempt) ? 1 : 0;
    }

    /** Whether the instance may send no further attempt. */
    boolean isAtInstanceLimit(double nowMs) {
        return inFlight >= instanceLimit(nowMs);
    }

    /**
     * The limit of the instance, infinite unless it works with a part of the servers or many instances share each. It
     * falls as responses take longer.
     */
    private double instanceLimit(double nowMs) {
        if (!subset.isPartial() && !subset.isSharedByMany()) {
            return Double.POSITIVE_INFINITY;
        }
        double latencyMs = Math.min(
                latency.reportedUnloadedMs(nowMs),
                Math.min(
                        latency.uncongestedMs(nowMs),
                        latency.reportedServiceTime.weight(nowMs) > 0
                                ? Double.POSITIVE_INFINITY
                                : latency.meanIdleMs(nowMs)));
        double busy = arrivalRate.peakPerMs(nowMs) * (latencyMs + latency.localDelayMs(nowMs));
        double least = MIN_INSTANCE_LIMIT * Math.max(1, (double) registry.size() / settings.instances());
        if (latency.latency.weight(nowMs) == 0) {
            // Without any response the latency is a guess.
            return least;
        }
        double congestionFactor = latency.congestionFactor(subset.isSharedByMany(), nowMs);
        return Math.max(1, congestionFactor * Math.max(least, withSlack(busy)));
    }

    /**
     * Refreshes a server's limit.
     *
     * @param perMs successful attempts of this instance per ms and usable server
     * @param leastUnloadedMs the least unloaded latency of all members, ms; infinite while unknown
     */
    void updateServer(Server server, double perMs, double leastUnloadedMs, double nowMs) {
        double fleetUnloadedMs = latency.unloadedMs();
        double distanceMs = server.unloadedMs < Double.POSITIVE_INFINITY ? server.unloadedMs - leastUnloadedMs : 0;
        double extraMs = distanceMs + latency.localDelayMs(nowMs);
        double busy = fleetUnloadedMs < Double.POSITIVE_INFINITY ? perMs * (fleetUnloadedMs + extraMs) : 0;
        double ownMs = Math.min(leastUnloadedMs, latency.reportedUnloadedMs(nowMs));
        boolean isMostlyOwn = server.inFlight <= MOSTLY_OWN_MULTIPLE * server.ownInFlight;
        if (ownMs < Double.POSITIVE_INFINITY && isMostlyOwn) {
            busy = Math.max(busy, latency.samplesPerMs(server, nowMs) * (ownMs + extraMs));
        }
        server.concurrencyLimit = Math.max(MIN_SERVER_LIMIT, withSlack(busy));
    }

    private static double withSlack(double busy) {
        return busy + SLACK_ROOTS * Math.sqrt(busy);
    }
}
