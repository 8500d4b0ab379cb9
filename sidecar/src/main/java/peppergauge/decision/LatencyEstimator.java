package peppergauge.decision;

import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Outcome;

/**
 * Estimates latencies: of an idle server, of the unloaded fleet, what each request in flight adds, and whether responses
 * take longer now than usual.
 *
 * <p>Inputs are the ends of attempts and the reported service times, ms. A sample is divided by its class's latency
 * factor, so that all samples are those of a mean request, and multiplied by the server's share of full capacity, so
 * that they are those of a warm server.
 */
final class LatencyEstimator {

    /** Weight of the fleet's mean in a server's estimate, in responses. */
    static final double PRIOR_RESPONSES = 6;

    /** Largest sample that counts, in means of the fleet or the server. */
    private static final double MAX_SAMPLE_MULTIPLE = 4;

    /** Smallest latency that counts, ms; means are divided by. */
    private static final double MIN_LATENCY_MS = 0.01;

    /** Queueing slope before any sample: latency that one more request in flight adds, in idle latencies. */
    private static final double INITIAL_QUEUEING_SLOPE = 0.5;

    /** Weight of the initial queueing slope, in squared deviations of the requests in flight. */
    private static final double QUEUEING_SLOPE_PRIOR = 10;

    /** Growth of an unloaded latency per second, so that it can rise again. */
    private static final double UNLOADED_GROWTH_PER_S = 0.01;

    /** Unloaded latency in reported service times. */
    private static final double UNLOADED_SERVICE_TIMES = 1.75;

    /** The first class's latency objective, in idle latencies, before the first response. */
    private static final double INITIAL_OBJECTIVE_LATENCIES = 4;

    /** Weight of that first estimate, in responses. */
    private static final double INITIAL_WEIGHT = 1e-3;

    /** Latency up to which the fleet is not congested, in idle latencies. */
    static final double UNCONGESTED_MULTIPLE = 2.8;

    /** Idle latencies that are never congestion. */
    static final double MIN_UNCONGESTED_MULTIPLE = 1.5;

    /** The first class's latency objective, in idle latencies at the least, where only congestion was seen. */
    private static final double OBJECTIVE_IDLE_LATENCIES = 3;

    /** Power of the ratio of uncongested to recent latency. */
    private static final double CONGESTION_POWER = 3;

    /** A server that leaves attempts open for so many mean latencies is silent, and its attempts are overdue. */
    static final double SILENT_LATENCIES = 3;

    private final double firstObjectiveMs;
    private final RequestClassStats[] classStats;

    /** Latency of successful attempts, as of a mean request, ms. */
    final DecayingAverage latency = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Latency of a mean request at an idle, warm server, ms. */
    final DecayingAverage idleLatency = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Requests in flight at a server when an attempt was sent there. */
    final DecayingAverage inFlightAtSend = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Reported service time of a warm server, ms. */
    final DecayingAverage reportedServiceTime = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Time of recent responses and of attempts that were given up on, ms. */
    private final DecayingAverage recentLatency = new DecayingAverage(DecayingAverage.SHORT_HALF_LIFE_MS);

    /** Time that requests and responses waited for this host itself, ms. */
    private final DecayingAverage localDelay = new DecayingAverage(DecayingAverage.SHORT_HALF_LIFE_MS);

    /** Covariance of requests in flight and latency, and variance of the former. */
    final DecayingAverage covariance = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);

    final DecayingAverage variance = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);

    /** When the first event came, ms; NaN before it. */
    private double observedSinceMs = Double.NaN;

    private double queueingSlope = INITIAL_QUEUEING_SLOPE;
    private double unloadedMs = Double.POSITIVE_INFINITY;
    private double unloadedUpdatedMs;

    LatencyEstimator(double firstObjectiveMs, RequestClassStats[] classStats) {
        this.firstObjectiveMs = firstObjectiveMs;
        this.classStats = classStats;
    }

    /** Notes the time of the first event. */
    void observe(double nowMs) {
        observedSinceMs = Double.isNaN(observedSinceMs) ? nowMs : observedSinceMs;
    }

    /** How long this instance has observed the fleet, ms. */
    double observedMs(double nowMs) {
        return Double.isNaN(observedSinceMs) ? 0 : nowMs - observedSinceMs;
    }

    /**
     * Learns from the end of an attempt.
     *
     * @return the latency that a mean request would have had at the idle, warm server, ms; 0 if the end is no sample
     */
    double recordAttempt(Request request, Request.Attempt attempt, AttemptEnded ended, double nowMs) {
        boolean isSuccess = ended.outcome() == Outcome.SUCCESS;
        boolean isLateCancel = ended.outcome() == Outcome.CANCELLED && ended.latencyMs() > attempt.expectedLatencyMs;
        if (!isSuccess && ended.outcome() != Outcome.TIMED_OUT && !isLateCancel) {
            return 0;
        }
        double latencyMs = Math.max(MIN_LATENCY_MS, ended.latencyMs());
        double meanRequestMs = latencyMs / request.classStats.latencyFactor;
        if (isSuccess || !isOverdue(attempt, nowMs)) {
            recentLatency.add(nowMs, meanRequestMs);
        }
        if (isSuccess) {
            request.classStats.latency.add(nowMs, latencyMs);
            latency.add(nowMs, meanRequestMs);
            RequestClassStats.recordOverallLatency(classStats, nowMs, latencyMs);
            updateUnloaded(nowMs);
        }
        double warmMs = meanRequestMs * attempt.capacity;
        if (isSuccess) {
            updateQueueingSlope(attempt, warmMs, nowMs);
        }
        return warmMs / (1 + queueingSlope * attempt.inFlight);
    }

    private void updateUnloaded(double nowMs) {
        double mean = latency.mean(nowMs);
        unloadedMs *= growth(nowMs - unloadedUpdatedMs);
        unloadedUpdatedMs = nowMs;
        if (latency.weight(nowMs) >= PRIOR_RESPONSES) {
            unloadedMs = Math.min(unloadedMs, Math.min(mean, reportedUnloadedMs(nowMs)));
        }
    }

    /** Fits the latency against the requests in flight, by each server's deviations from its own means. */
    private void updateQueueingSlope(Request.Attempt attempt, double warmMs, double nowMs) {
        Server server = attempt.server;
        double inFlightDeviation = attempt.inFlight - server.inFlightAtSend.mean(nowMs);
        double latencyDeviation = warmMs - server.warmLatency.mean(nowMs);
        if (server.inFlightAtSend.weight(nowMs) >= 1) {
            covariance.add(nowMs, inFlightDeviation * latencyDeviation);
            variance.add(nowMs, inFlightDeviation * inFlightDeviation);
        }
        server.inFlightAtSend.add(nowMs, attempt.inFlight);
        server.warmLatency.add(nowMs, warmMs);
        inFlightAtSend.add(nowMs, attempt.inFlight);
        double mean = latency.mean(nowMs);
        double slopeMs = (covariance.sum(nowMs) + QUEUEING_SLOPE_PRIOR * mean / 2)
                / (variance.sum(nowMs) + QUEUEING_SLOPE_PRIOR);
        double idleMs = mean - slopeMs * inFlightAtSend.mean(nowMs);
        queueingSlope = idleMs <= slopeMs ? 1 : Math.max(0, slopeMs / idleMs);
    }

    /** Takes a sample of {@link #recordAttempt} into the means of its server and of the fleet; 0 is none. */
    void recordIdleLatency(Server server, double sampleMs, double nowMs) {
        if (!(sampleMs > 0)) {
            return;
        }
        double usualMs = Math.max(meanIdleMs(nowMs), server.idleLatency.mean(nowMs));
        double cappedMs = Math.min(sampleMs, MAX_SAMPLE_MULTIPLE * usualMs);
        server.idleLatency.add(nowMs, cappedMs);
        idleLatency.add(nowMs, cappedMs);
        if (server.idleLatency.weight(nowMs) >= PRIOR_RESPONSES) {
            double grownMs = server.unloadedMs * growth(nowMs - server.unloadedUpdatedMs);
            server.unloadedMs = Math.min(grownMs, server.idleLatency.mean(nowMs));
            server.unloadedUpdatedMs = nowMs;
        }
    }

    /** Takes a reported service time, converted to that of a warm server, ms. */
    void recordServiceTime(Server server, double warmMs, double nowMs) {
        reportedServiceTime.add(nowMs, warmMs);
        server.reportedServiceTime.add(nowMs, warmMs);
        server.kindStats.serviceTime.add(nowMs, warmMs);
    }

    /** Takes the time that an attempt waited for this host itself, ms. */
    void recordLocalDelay(double delayMs, double nowMs) {
        localDelay.add(nowMs, delayMs);
    }

    double localDelayMs(double nowMs) {
        return localDelay.mean(nowMs);
    }

    /** The fleet's mean idle latency, ms; before any response, a share of the first class's latency objective. */
    double meanIdleMs(double nowMs) {
        double initialMs = firstObjectiveMs / INITIAL_OBJECTIVE_LATENCIES;
        return (idleLatency.sum(nowMs) + initialMs * INITIAL_WEIGHT) / (idleLatency.weight(nowMs) + INITIAL_WEIGHT);
    }

    /** The unloaded latency of the fleet by its responses, ms; infinite while unknown. */
    double unloadedMs() {
        return unloadedMs;
    }

    /** The same with the growth until {@code nowMs}. */
    double unloadedMs(double nowMs) {
        return unloadedMs * growth(Math.max(0, nowMs - unloadedUpdatedMs));
    }

    /** The unloaded latency of a server with the growth until {@code nowMs}, ms; infinite while unknown. */
    static double unloadedMs(Server server, double nowMs) {
        return server.unloadedMs * growth(Math.max(0, nowMs - server.unloadedUpdatedMs));
    }

    /** The unloaded latency by the servers' reports, ms; infinite where too few report service times. */
    double reportedUnloadedMs(double nowMs) {
        boolean isReported = reportedServiceTime.weight(nowMs) >= PRIOR_RESPONSES;
        return isReported ? UNLOADED_SERVICE_TIMES * reportedServiceTime.mean(nowMs) : Double.POSITIVE_INFINITY;
    }

    /** Latency that one more request in flight adds, in idle latencies, 0 to 1. */
    double queueingSlope() {
        return queueingSlope;
    }

    /** Refreshes the estimate of a server's idle latency. */
    void updateServer(Server server, double meanIdleMs, double nowMs) {
        double weight = server.idleLatency.weight(nowMs);
        double usualMs = meanIdleMs * serviceTimeRatio(server, nowMs);
        server.idleLatencyMs = (server.idleLatency.sum(nowMs) + PRIOR_RESPONSES * usualMs) / (weight + PRIOR_RESPONSES);
    }

    /** A server's service time in means of the fleet's, by its reports and those of its machine kind. */
    private double serviceTimeRatio(Server server, double nowMs) {
        double mean = reportedServiceTime.mean(nowMs);
        if (mean <= 0) {
            return 1;
        }
        double kindMs = MachineKindStats.meanOfKind(server.kindStats.serviceTime, mean, nowMs);
        DecayingAverage own = server.reportedServiceTime;
        return (own.sum(nowMs) + kindMs) / (own.weight(nowMs) + 1) / mean;
    }

    /** Latency of a mean request at the server's known load, ms. */
    double loadedLatencyMs(Server server) {
        return server.idleLatencyMs * (1 + queueingSlope * server.knownInFlight) / server.capacity;
    }

    /** Successful attempts per ms. */
    double successesPerMs(double nowMs) {
        return latency.ratePerMs(nowMs, observedSinceMs, 1);
    }

    /** Attempts per ms that gave an idle-latency sample at a server. */
    double samplesPerMs(Server server, double nowMs) {
        return server.idleLatency.ratePerMs(nowMs, observedSinceMs, 1);
    }

    /** Whether a server has left own attempts open, without any response, for several mean latencies. */
    boolean isSilent(Server server, double nowMs) {
        return server.silenceMs(nowMs) > SILENT_LATENCIES * latency.mean(nowMs);
    }

    /** Whether an attempt has waited for several usual latencies while its server ended no other attempt. */
    boolean isOverdue(Request.Attempt attempt, double nowMs) {
        return attempt.server.lastResponseMs <= attempt.sentMs
                && nowMs - attempt.sentMs > SILENT_LATENCIES * Math.max(attempt.expectedLatencyMs, latency.mean(nowMs));
    }

    /**
     * Mean latency up to which the fleet is not congested, ms: a multiple of the idle latency, between bounds from the
     * first class's latency objective, since an instance that starts under overload has seen no other latencies.
     */
    double uncongestedMs(double nowMs) {
        double idleMs = meanIdleMs(nowMs);
        double mostMs = Math.max(
                firstObjectiveMs / LoadShedding.RETURN_SERVICE_TIMES,
                Math.min(firstObjectiveMs / OBJECTIVE_IDLE_LATENCIES, MIN_UNCONGESTED_MULTIPLE * idleMs));
        return Math.min(UNCONGESTED_MULTIPLE * idleMs, mostMs);
    }

    /**
     * 1 while responses take no longer than in an uncongested fleet, falling to 0 the longer they take.
     *
     * @param isShared whether many instances share a server; else the factor is 1
     */
    double congestionFactor(boolean isShared, double nowMs) {
        double usualMs = latency.mean(nowMs);
        double recentMs = (recentLatency.sum(nowMs) + usualMs) / (recentLatency.weight(nowMs) + 1);
        double ratio = isShared ? Math.min(1, uncongestedMs(nowMs) / Math.max(1, recentMs)) : 1;
        return Math.pow(ratio, CONGESTION_POWER);
    }

    private static double growth(double elapsedMs) {
        return 1 + UNLOADED_GROWTH_PER_S * elapsedMs / 1000;
    }
}
