package peppergauge.decision;

import peppergauge.decision.LoadBalancer.RequestClass;

/** Statistics of a request class: its latency in relation to all classes, and the usual timeout of its clients. */
final class RequestClassStats {

    /** Weight of the mean of all classes in the latency factor of a class, in responses. */
    private static final double PRIOR_RESPONSES = 2 * LatencyEstimator.PRIOR_RESPONSES;

    /** Factor by which the request counts decay with each further request. */
    private static final double COUNT_DECAY = 0.98;

    /** Timeouts that differ less than this from the longest count as equal to it, ms. */
    private static final double TIMEOUT_TOLERANCE_MS = 1;

    final DecayingAverage latency = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);
    final DecayingAverage overallLatency = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);
    /** Ratio of the class's mean latency to that of all classes. */
    double latencyFactor = 1;

    private double longestTimeoutMs;
    private double requestsWithLongestTimeout;
    private double requests;

    /** Records the latency of a response in the overall mean of all classes, and updates their latency factors. */
    static void recordOverallLatency(RequestClassStats[] all, double nowMs, double latencyMs) {
        for (RequestClassStats stats : all) {
            stats.overallLatency.add(nowMs, latencyMs);
            double mean = stats.overallLatency.mean(nowMs);
            double prior = PRIOR_RESPONSES * mean;
            stats.latencyFactor =
                    (stats.latency.sum(nowMs) + prior) / (stats.latency.weight(nowMs) + PRIOR_RESPONSES) / mean;
        }
    }

    /**
     * Time that the client has spent on earlier tries, ms; 0 if unknown. If most requests of a class have the longest
     * timeout, a shorter one is the remaining time until the client's deadline.
     *
     * @param timeoutMs how long the client waits for the response to this try, ms
     */
    double elapsedBeforeMs(RequestClass requestClass, double timeoutMs) {
        longestTimeoutMs = Math.max(longestTimeoutMs, timeoutMs);
        boolean isLongest = timeoutMs > longestTimeoutMs - TIMEOUT_TOLERANCE_MS;
        requests = requests * COUNT_DECAY + 1;
        requestsWithLongestTimeout = requestsWithLongestTimeout * COUNT_DECAY + (isLongest ? 1 : 0);
        return isLongest || requestsWithLongestTimeout < requests / 2
                ? 0
                : Math.max(0, requestClass.deadlineMs() - timeoutMs);
    }
}
