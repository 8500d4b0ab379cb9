package peppergauge.decision;

import java.util.Arrays;
import peppergauge.decision.LoadBalancer.Outcome;

/**
 * Decides which servers are outliers, by their failure rates in relation to that of all servers, and ejects servers
 * after consecutive failures.
 *
 * <p>Inputs are the outcomes of attempts. Results are the success score of each server (0 to 1), the time until which
 * it is ejected, and whether so many servers are outliers that the scores must be ignored (panic mode).
 */
final class OutlierDetection {

    /** Weight of the successes that are assumed for every server, in outcomes. */
    private static final double PRIOR_OUTCOMES = 6;

    /** Weight of the successes that are assumed in the last second for every server, in outcomes. */
    private static final double PRIOR_RECENT_OUTCOMES = 3;

    /** Weight of a rejection for overload, in failures. */
    private static final double OVERLOADED_FAILURE_WEIGHT = 0.5;

    /** Lower bound of the success score. */
    private static final double MIN_SUCCESS_SCORE = 1e-6;

    /** Maximum number of doublings of the ejection time. */
    private static final int MAX_EJECTION_DOUBLINGS = 5;

    /** A server is an outlier if its relative health is under this share of the upper quartile of all servers. */
    private static final double OUTLIER_HEALTH_SHARE = 0.5;

    /** A server is failing if its success score is under this share of the best one's. */
    private static final double FAILING_SCORE_SHARE = 0.85;

    /** Above this share of errors in all outcomes, errors are attributed to the requests and not to the servers. */
    private static final double REQUEST_ERROR_SHARE = 0.15;

    private final LatencyEstimator latency;
    /** Error responses of all servers, as a share of outcomes. */
    final DecayingAverage errors = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    OutlierDetection(LatencyEstimator latency) {
        this.latency = latency;
    }

    /** Records the outcome of an attempt. Ejects the server after any failure other than an error response. */
    void record(Server server, Outcome outcome, double nowMs) {
        if (outcome != Outcome.CANCELLED && outcome != Outcome.NEVER_SENT) {
            errors.add(nowMs, outcome == Outcome.ERROR ? 1 : 0);
            server.recentErrors.add(nowMs, outcome == Outcome.ERROR ? 1 : 0);
        }
        switch (outcome) {
            case SUCCESS -> {
                server.failures.add(nowMs, 0);
                server.consecutiveFailures = 0;
            }
            case ERROR -> server.errors.add(nowMs, 1);
            case TIMED_OUT, BROKEN, UNREACHABLE -> recordFailure(server, 1, nowMs);
            case OVERLOADED -> recordFailure(server, OVERLOADED_FAILURE_WEIGHT, nowMs);
            case CANCELLED, NEVER_SENT -> {}
        }
    }

    private void recordFailure(Server server, double failures, double nowMs) {
        server.failures.add(nowMs, failures);
        server.consecutiveFailures++;
        eject(server, nowMs);
    }

    /** Ejects a server for one mean idle latency, doubled with each further consecutive failure. */
    private void eject(Server server, double nowMs) {
        double latencies = 1 << Math.min(server.consecutiveFailures - 1, MAX_EJECTION_DOUBLINGS);
        server.ejectedUntilMs = Math.max(server.ejectedUntilMs, nowMs + latencies * latency.meanIdleMs(nowMs));
    }

    /** Whether a server has so many consecutive failures that its ejection time no longer grows. */
    static boolean isAtMaxEjectionTime(Server server) {
        return server.consecutiveFailures > MAX_EJECTION_DOUBLINGS;
    }

    static boolean isEjected(Server server, double nowMs) {
        return server.ejectedUntilMs > nowMs;
    }

    /** The share of error responses in all outcomes of all servers. */
    double errorShare(double nowMs) {
        return errors.mean(nowMs);
    }

    /** Updates a server's success score and relative health by the error share and mean idle latency of all servers. */
    void updateServer(Server server, double errorShare, double meanIdleMs, double nowMs) {
        double score =
                1 - Math.max(failureShare(server, errorShare, nowMs), recentErrorShare(server, errorShare, nowMs));
        server.relativeHealth = Math.max(0, score) * Math.min(1, meanIdleMs / server.idleLatencyMs);
        server.successScore = Math.max(MIN_SUCCESS_SCORE, score);
    }

    /**
     * The share of failures in a server's outcomes. Error responses count only beyond the share of all servers.
     * Consecutive failures count again, with a weight that decays after the ejection.
     */
    private static double failureShare(Server server, double errorShare, double nowMs) {
        double outcomes = server.failures.weight(nowMs) + server.errors.weight(nowMs);
        double excessErrors = Math.max(0, server.errors.sum(nowMs) - outcomes * errorShare);
        double fadedConsecutiveFailures = server.consecutiveFailures
                * StrictMath.exp(-Math.max(0, nowMs - server.ejectedUntilMs) / DecayingAverage.HALF_LIFE_MS);
        double failures = server.failures.sum(nowMs) + excessErrors + fadedConsecutiveFailures;
        return failures / (outcomes + PRIOR_OUTCOMES + fadedConsecutiveFailures);
    }

    private static double recentErrorShare(Server server, double errorShare, double nowMs) {
        double outcomes = server.recentErrors.weight(nowMs);
        double excessErrors = server.recentErrors.sum(nowMs) - outcomes * errorShare;
        return excessErrors / (outcomes + PRIOR_RECENT_OUTCOMES);
    }

    /**
     * Whether half of the servers or more are outliers, so that outliers cannot be told from the others.
     *
     * @param relativeHealths relative health of the usable servers; this method sorts them
     * @param count number of usable servers
     */
    static boolean isPanicking(double[] relativeHealths, int count) {
        if (count == 0) {
            return false;
        }
        Arrays.sort(relativeHealths, 0, count);
        double upperQuartile = relativeHealths[(count - 1) * 3 / 4];
        int outliers = 0;
        while (outliers < count && relativeHealths[outliers] < OUTLIER_HEALTH_SHARE * upperQuartile) {
            outliers++;
        }
        return outliers * 2 >= count;
    }

    /** Whether a server's success score is so far below the best one that the server gets trial traffic only. */
    static boolean isFailing(Server server, double bestSuccessScore) {
        return server.successScore < FAILING_SCORE_SHARE * bestSuccessScore;
    }

    /** Whether errors are so frequent at all servers that they are attributed to the requests. */
    boolean areErrorsCausedByRequests(double nowMs) {
        return errors.sum(nowMs) > REQUEST_ERROR_SHARE * (errors.weight(nowMs) + PRIOR_OUTCOMES);
    }
}
