package peppergauge.decision;

import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Outcome;

/**
 * Estimates the latency of an idle server, the latency of all servers without load, the latency that each request in
 * flight adds, and whether the servers together are congested.
 *
 * <p>Inputs are the ends of attempts and the reported service times, ms. Samples are normalized to a mean request at a
 * warm server: each is divided by the latency factor of its request class and multiplied by the server's share of its
 * full capacity.
 */
final class LatencyEstimator {

    /** Weight of the mean of all servers in the estimate of a server's latency, in responses. */
    static final double PRIOR_RESPONSES = 6;

    /** Samples are capped at this multiple of the mean of all servers or of the server, whichever is greater. */
    private static final double MAX_SAMPLE_MULTIPLE = 4;

    /** Lower bound of a latency sample, ms, since other values are divided by the mean latency. */
    private static final double MIN_LATENCY_MS = 0.01;

    /** Queueing slope before the first sample: the latency that one more request in flight adds, in idle latencies. */
    private static final double INITIAL_QUEUEING_SLOPE = 0.5;

    /** Weight of the initial queueing slope, in squared deviations of the requests in flight. */
    private static final double QUEUEING_SLOPE_PRIOR = 10;

    /** Relative growth per second of an unloaded latency, which is a minimum and could not rise otherwise. */
    private static final double UNLOADED_GROWTH_PER_S = 0.01;

    /** Ratio of the unloaded latency to the mean reported service time. */
    private static final double UNLOADED_SERVICE_TIME_MULTIPLE = 1.75;

    /** Ratio of the first class's latency objective to the idle latency that is assumed before the first response. */
    private static final double INITIAL_OBJECTIVE_MULTIPLE = 4;

    /** Weight of the idle latency that is assumed before the first response, in responses. */
    private static final double INITIAL_WEIGHT = 1e-3;

    /** Upper bound of the mean latency that is not congestion, in idle latencies; see {@link #uncongestedMs}. */
    static final double UNCONGESTED_MULTIPLE = 2.8;

    /**
     * A short latency objective reduces the bound down to this multiple of the idle latency, and further only by
     * {@link #MIN_OBJECTIVE_MULTIPLE}.
     */
    static final double MIN_UNCONGESTED_MULTIPLE = 1.5;

    /**
     * Latencies up to {@link #MIN_UNCONGESTED_MULTIPLE} are congestion nevertheless if they are over the first class's
     * latency objective divided by this: an instance that has seen only overload takes its latency for the idle one.
     */
    private static final double MIN_OBJECTIVE_MULTIPLE = 3;

    /** Exponent of the ratio of uncongested to recent latency in the congestion factor. */
    private static final int CONGESTION_POWER = 3;

    /** A server is silent, and its attempts are overdue, after this multiple of the mean latency without a response. */
    static final double SILENCE_LATENCY_MULTIPLE = 3;

    private final double firstObjectiveMs;
    private final RequestClassStats[] classStats;

    /** Latency of successful attempts, normalized to a mean request, ms. */
    final DecayingAverage latency = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Latency of a mean request at an idle, warm server, ms. */
    final DecayingAverage idleLatency = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Requests in flight at a server at the moment when an attempt was sent to it. */
    final DecayingAverage inFlightAtSend = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Reported service time, converted to that of a warm server, ms. */
    final DecayingAverage reportedServiceTime = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Latency of recent responses and of recently cancelled or timed-out attempts, ms. */
    private final DecayingAverage recentLatency = new DecayingAverage(DecayingAverage.SHORT_HALF_LIFE_MS);

    /** Delay of requests and responses on this host itself, ms. */
    private final DecayingAverage localDelay = new DecayingAverage(DecayingAverage.SHORT_HALF_LIFE_MS);

    /** Covariance of requests in flight and latency. */
    final DecayingAverage covariance = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);

    /** Variance of requests in flight. */
    final DecayingAverage variance = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);

    /** Time of the first event, ms; NaN before it. */
    private double observedSinceMs = Double.NaN;

    private double queueingSlope = INITIAL_QUEUEING_SLOPE;
    private double unloadedMs = Double.POSITIVE_INFINITY;
    private double unloadedUpdatedMs;

    LatencyEstimator(double firstObjectiveMs, RequestClassStats[] classStats) {
        this.firstObjectiveMs = firstObjectiveMs;
        this.classStats = classStats;
    }

    /** Records the time of the first event. */
    void observe(double nowMs) {
        observedSinceMs = Double.isNaN(observedSinceMs) ? nowMs : observedSinceMs;
    }

    /** How long this instance has observed the servers, ms. */
    double observedMs(double nowMs) {
        return Double.isNaN(observedSinceMs) ? 0 : nowMs - observedSinceMs;
    }

    /**
     * Records the latency of an attempt that ended.
     *
     * @return the latency that a mean request would have had at the same server when idle and warm, ms; 0 if the
     *     attempt gives no sample
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

    /** Fits latency to requests in flight by linear regression, on each server's deviations from its own means. */
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
        double slopeMs = (covariance.sum(nowMs) + QUEUEING_SLOPE_PRIOR * mean * INITIAL_QUEUEING_SLOPE)
                / (variance.sum(nowMs) + QUEUEING_SLOPE_PRIOR);
        double idleMs = mean - slopeMs * inFlightAtSend.mean(nowMs);
        queueingSlope = idleMs <= slopeMs ? 1 : Math.max(0, slopeMs / idleMs);
    }

    /** Adds a result of {@link #recordAttempt} to the idle latencies of the server and of all servers; ignores 0. */
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

    /** Records a reported service time, converted to that of a warm server, ms. */
    void recordServiceTime(Server server, double warmMs, double nowMs) {
        reportedServiceTime.add(nowMs, warmMs);
        server.reportedServiceTime.add(nowMs, warmMs);
        server.kindStats.serviceTime.add(nowMs, warmMs);
    }

    /** Records the delay of an attempt on this host itself, ms. */
    void recordLocalDelay(double delayMs, double nowMs) {
        localDelay.add(nowMs, delayMs);
    }

    double localDelayMs(double nowMs) {
        return localDelay.mean(nowMs);
    }

    /** The mean idle latency of all servers, ms; at first, a share of the first class's latency objective. */
    double meanIdleMs(double nowMs) {
        double initialMs = firstObjectiveMs / INITIAL_OBJECTIVE_MULTIPLE;
        return (idleLatency.sum(nowMs) + initialMs * INITIAL_WEIGHT) / (idleLatency.weight(nowMs) + INITIAL_WEIGHT);
    }

    /** Whether the idle latency is measured rather than only assumed. */
    boolean isMeasured() {
        return idleLatency.lastWeight() > 0;
    }

    /** The unloaded latency of all servers as of the last response, ms; infinite while unknown. */
    double unloadedMs() {
        return unloadedMs;
    }

    /** The unloaded latency of all servers with its growth until {@code nowMs}, ms; infinite while unknown. */
    double unloadedMs(double nowMs) {
        return unloadedMs * growth(Math.max(0, nowMs - unloadedUpdatedMs));
    }

    /** The unloaded latency of a server with its growth until {@code nowMs}, ms; infinite while unknown. */
    static double unloadedMs(Server server, double nowMs) {
        return server.unloadedMs * growth(Math.max(0, nowMs - server.unloadedUpdatedMs));
    }

    /** The unloaded latency of all servers by reported service times, ms; infinite with too few reports. */
    double reportedUnloadedMs(double nowMs) {
        boolean isReported = reportedServiceTime.weight(nowMs) >= PRIOR_RESPONSES;
        return isReported ? UNLOADED_SERVICE_TIME_MULTIPLE * reportedServiceTime.mean(nowMs) : Double.POSITIVE_INFINITY;
    }

    /** The latency that one more request in flight adds, in idle latencies, 0 to 1. */
    double queueingSlope() {
        return queueingSlope;
    }

    /** Refreshes the estimate of a server's idle latency. */
    void updateServer(Server server, double meanIdleMs, double nowMs) {
        double weight = server.idleLatency.weight(nowMs);
        double usualMs = meanIdleMs * serviceTimeRatio(server, nowMs);
        server.idleLatencyMs = (server.idleLatency.sum(nowMs) + PRIOR_RESPONSES * usualMs) / (weight + PRIOR_RESPONSES);
    }

    /** Ratio of a server's service time to the mean of all servers, by the reports of it and of its machine kind. */
    private double serviceTimeRatio(Server server, double nowMs) {
        double mean = reportedServiceTime.mean(nowMs);
        if (mean <= 0) {
            return 1;
        }
        double kindMs = MachineKindStats.meanOfKind(server.kindStats.serviceTime, mean, nowMs);
        DecayingAverage own = server.reportedServiceTime;
        return (own.sum(nowMs) + kindMs) / (own.weight(nowMs) + 1) / mean;
    }

    /** Expected latency of a mean request at the server's known load, ms. */
    double loadedLatencyMs(Server server) {
        return server.idleLatencyMs * (1 + queueingSlope * server.knownInFlight) / server.capacity;
    }

    /** Rate of successful attempts, per ms. */
    double successesPerMs(double nowMs) {
        return latency.ratePerMs(nowMs, observedSinceMs, 1);
    }

    /** Rate of the attempts that gave a sample of a server's idle latency, per ms. */
    double samplesPerMs(Server server, double nowMs) {
        return server.idleLatency.ratePerMs(nowMs, observedSinceMs, 1);
    }

    /** Whether a server has own attempts open and has sent no response for several mean latencies. */
    boolean isSilent(Server server, double nowMs) {
        return server.silenceMs(nowMs) > SILENCE_LATENCY_MULTIPLE * latency.mean(nowMs);
    }

    /** Whether an attempt has been open for several times the expected latency, without any response of its server. */
    boolean isOverdue(Request.Attempt attempt, double nowMs) {
        return attempt.server.lastResponseMs <= attempt.sentMs
                && nowMs - attempt.sentMs
                        > SILENCE_LATENCY_MULTIPLE * Math.max(attempt.expectedLatencyMs, latency.mean(nowMs));
    }

    /**
     * Mean latency up to which the servers together are not congested, ms: a multiple of the idle latency. It is
     * bounded by the first class's latency objective, since an instance that starts under overload has measured no
     * other latencies.
     */
    double uncongestedMs(double nowMs) {
        double idleMs = meanIdleMs(nowMs);
        double maxMs = Math.max(
                firstObjectiveMs / LoadShedding.RETURN_SERVICE_TIME_MULTIPLE,
                Math.min(firstObjectiveMs / MIN_OBJECTIVE_MULTIPLE, MIN_UNCONGESTED_MULTIPLE * idleMs));
        return Math.min(UNCONGESTED_MULTIPLE * idleMs, maxMs);
    }

    /**
     * Congestion factor: 1 while recent latencies are those of uncongested servers, falling towards 0 as they rise.
     *
     * @param isShared whether many instances share a server; if not, the factor is 1
     */
    double congestionFactor(boolean isShared, double nowMs) {
        double usualMs = latency.mean(nowMs);
        double recentMs = (recentLatency.sum(nowMs) + usualMs) / (recentLatency.weight(nowMs) + 1);
        double ratio = isShared ? Math.min(1, uncongestedMs(nowMs) / Math.max(1, recentMs)) : 1;
        return IntegerPower.of(ratio, CONGESTION_POWER);
    }

    private static double growth(double elapsedMs) {
        return 1 + UNLOADED_GROWTH_PER_S * elapsedMs / 1000;
    }
}
