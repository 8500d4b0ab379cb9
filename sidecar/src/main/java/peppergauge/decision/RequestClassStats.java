package peppergauge.decision;

import peppergauge.decision.LoadBalancer.RequestClass;

/** How the latency of a request class compares with all classes, and how long its clients usually wait. */
final class RequestClassStats {

    /** Weight of the overall mean in a class's latency factor, in responses. */
    private static final double PRIOR_RESPONSES = 2 * LatencyEstimator.PRIOR_RESPONSES;

    /** What is left of the counted requests after one more. */
    private static final double COUNT_DECAY = 0.98;

    /** Timeouts closer than this to the longest count as equal, ms. */
    private static final double TIMEOUT_TOLERANCE_MS = 1;

    final DecayingAverage latency = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);
    final DecayingAverage overallLatency = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);
    /** Mean latency of the class in means of all classes. */
    double latencyFactor = 1;

    private double longestTimeoutMs;
    private double requestsWithLongestTimeout;
    private double requests;

    /** Takes a response's latency into the overall mean of all classes, and updates their latency factors. */
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
     * Time that the client has spent on earlier tries, ms. Known only of classes of which most requests come with the
     * longest timeout: a shorter one is then what the deadline leaves.
     *
     * @param timeoutMs how long the client waits for this try
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
