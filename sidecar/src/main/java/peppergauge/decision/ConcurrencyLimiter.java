package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Settings;

/**
 * Limits the attempts that this instance has in flight, at each server and in total.
 *
 * <p>A limit is the number of attempts that are in flight at the measured rate and the unloaded latency (Little's law),
 * plus slack in proportion to its square root. It takes effect before latencies rise.
 */
final class ConcurrencyLimiter {

    /** Lowest limit of a server, in attempts. */
    private static final double MIN_SERVER_LIMIT = 2;

    /** Lowest limit of an instance, in attempts, multiplied by the servers per instance if there are several. */
    private static final double MIN_INSTANCE_LIMIT = 4;

    /** Slack of a limit, in multiples of the square root of the attempts in flight. */
    private static final double SLACK_PER_ROOT = 2;

    /** A server's load counts as caused by this instance up to this multiple of the instance's own attempts. */
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

    /** Counts an attempt as no longer in flight, because it ended or its response streams. May be called twice. */
    void onEnded(Request.Attempt attempt) {
        inFlight -= attempt.server.openAttempts.remove(attempt) ? 1 : 0;
    }

    /** Whether the instance may send no further attempt. */
    boolean isAtInstanceLimit(double nowMs) {
        return inFlight >= instanceLimit(nowMs);
    }

    /**
     * The limit of the instance; infinite unless it uses a subset of the servers, as it does only if connections are
     * costly, or many instances share each server. It falls as latencies rise.
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
        double concurrency = arrivalRate.peakPerMs(nowMs) * (latencyMs + latency.localDelayMs(nowMs));
        double minLimit = MIN_INSTANCE_LIMIT * Math.max(1, (double) registry.size() / settings.instances());
        if (latency.latency.weight(nowMs) == 0) {
            // Before the first response, the latency is only assumed.
            return minLimit;
        }
        double congestionFactor = latency.congestionFactor(subset.isSharedByMany(), nowMs);
        return Math.max(1, congestionFactor * Math.max(minLimit, withSlack(concurrency)));
    }

    /**
     * Refreshes a server's limit.
     *
     * @param successesPerMs successful attempts of this instance per ms and usable server
     * @param minUnloadedMs the lowest unloaded latency of all members, ms; infinite while unknown
     */
    void updateServer(Server server, double successesPerMs, double minUnloadedMs, double nowMs) {
        double fleetUnloadedMs = latency.unloadedMs();
        double distanceMs = server.unloadedMs < Double.POSITIVE_INFINITY ? server.unloadedMs - minUnloadedMs : 0;
        double extraMs = distanceMs + latency.localDelayMs(nowMs);
        double concurrency =
                fleetUnloadedMs < Double.POSITIVE_INFINITY ? successesPerMs * (fleetUnloadedMs + extraMs) : 0;
        double unloadedMs = Math.min(minUnloadedMs, latency.reportedUnloadedMs(nowMs));
        boolean isMostlyOwn = server.inFlight <= MOSTLY_OWN_MULTIPLE * server.ownInFlight;
        if (unloadedMs < Double.POSITIVE_INFINITY && isMostlyOwn) {
            concurrency = Math.max(concurrency, latency.samplesPerMs(server, nowMs) * (unloadedMs + extraMs));
        }
        server.concurrencyLimit = Math.max(MIN_SERVER_LIMIT, withSlack(concurrency));
    }

    private static double withSlack(double concurrency) {
        return concurrency + SLACK_PER_ROOT * Math.sqrt(concurrency);
    }
}
