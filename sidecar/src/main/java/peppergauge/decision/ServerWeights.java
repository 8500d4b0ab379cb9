package peppergauge.decision;

import java.util.List;

/**
 * Computes the weights by which a server is drawn.
 *
 * <p>A weight is the product of factors in [0,1]: success score, idle latency against the best server's, requests in
 * flight, and capacity by age. It is divided by the best server's product and raised to a power. In panic mode, when
 * half of the servers are outliers, success and latency don't count.
 */
final class ServerWeights {

    /** Power of the product of factors. */
    private static final double STEEPNESS = 15;

    /** Weight of a failing server, against the best one's 1: trial traffic, by which a recovery is found. */
    private static final double TRIAL_WEIGHT = 0.004;

    /** Least product of success and latency factor: the one that gives the trial weight. */
    private static final double MIN_CONDITION = Math.pow(TRIAL_WEIGHT, 1 / STEEPNESS);

    /** Marks a failing server while the products are computed. */
    private static final double FAILING = -1;

    private final ServerRegistry registry;
    private final ServerSubset subset;
    private final OutlierDetection outliers;
    private final LatencyEstimator latency;
    private final LoadEstimator load;
    private final SlowStart slowStart;
    private final ConcurrencyLimiter limiter;
    private double[] weights = new double[16];
    private boolean isPanicking;
    private double bestSuccessScore;
    private double bestIdleLatencyMs;

    ServerWeights(
            ServerRegistry registry,
            ServerSubset subset,
            OutlierDetection outliers,
            LatencyEstimator latency,
            LoadEstimator load,
            SlowStart slowStart,
            ConcurrencyLimiter limiter) {
        this.registry = registry;
        this.subset = subset;
        this.outliers = outliers;
        this.latency = latency;
        this.load = load;
        this.slowStart = slowStart;
        this.limiter = limiter;
    }

    /** The weights of the subset's members, in their order, as last computed. */
    double[] weights() {
        return weights;
    }

    double bestSuccessScore() {
        return bestSuccessScore;
    }

    /** Refreshes the subset and all estimates, factors and limits of its members. */
    void refresh(double nowMs) {
        subset.refresh(nowMs);
        List<Server> members = subset.members();
        if (weights.length < members.size()) {
            weights = new double[members.size() * 2];
        }
        double meanIdleMs = latency.meanIdleMs(nowMs);
        double errorShare = outliers.errorShare(nowMs);
        int usable = 0;
        double leastUnloadedMs = Double.POSITIVE_INFINITY;
        bestSuccessScore = 0;
        bestIdleLatencyMs = Double.POSITIVE_INFINITY;
        for (Server server : members) {
            refresh(server, meanIdleMs, errorShare, nowMs);
            leastUnloadedMs = Math.min(leastUnloadedMs, server.unloadedMs);
            bestSuccessScore = Math.max(bestSuccessScore, server.successScore);
            bestIdleLatencyMs = Math.min(bestIdleLatencyMs, server.idleLatencyMs);
            if (server.isUsable) {
                weights[usable++] = server.condition;
            }
        }
        isPanicking = OutlierDetection.isPanicking(weights, usable);
        double perMs = latency.successesPerMs(nowMs) / Math.max(1, usable);
        slowStart.clearShares();
        for (Server server : members) {
            limiter.updateServer(server, perMs, leastUnloadedMs, nowMs);
            slowStart.assignShare(server, subset, registry.size());
        }
    }

    private void refresh(Server server, double meanIdleMs, double errorShare, double nowMs) {
        latency.updateServer(server, meanIdleMs, nowMs);
        server.capacity = slowStart.capacity(server, nowMs);
        load.updateServer(server, subset.isPartial(), nowMs);
        outliers.updateServer(server, errorShare, meanIdleMs, nowMs);
        double loadedMs = latency.loadedLatencyMs(server);
        server.expectedLatencyMs = Math.max(loadedMs, server.silenceMs(nowMs));
        double responsiveness = loadedMs / server.expectedLatencyMs;
        server.loadFactor = responsiveness / Math.pow(1 + server.inFlight, 2);
    }

    /** Computes the weights of the eligible members, 0 for all others; false if all products are 0 or failing. */
    boolean compute() {
        List<Server> members = subset.members();
        double best = 0;
        for (int i = 0; i < members.size(); i++) {
            Server server = members.get(i);
            double product = server.isEligible ? product(server) : 0;
            // A server that fails fast is idle: its load factor must not lift it over the trial weight.
            boolean isFailing = product > 0 && !isPanicking && OutlierDetection.isFailing(server, bestSuccessScore);
            weights[i] = isFailing ? FAILING : product;
            best = Math.max(best, isFailing ? 0 : product);
        }
        if (best <= 0) {
            return false;
        }
        for (int i = 0; i < members.size(); i++) {
            weights[i] = weights[i] < 0 ? TRIAL_WEIGHT : weights[i] == 0 ? 0 : Math.pow(weights[i] / best, STEEPNESS);
        }
        return true;
    }

    private double product(Server server) {
        double condition = isPanicking ? 1 : server.successScore * bestIdleLatencyMs / server.idleLatencyMs;
        return Math.max(condition, MIN_CONDITION) * server.loadFactor * server.capacity;
    }
}
