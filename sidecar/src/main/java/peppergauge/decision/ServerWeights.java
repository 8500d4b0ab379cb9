package peppergauge.decision;

import java.util.List;

/**
 * Computes the weights by which servers are selected.
 *
 * <p>A weight is the product of factors in [0,1]: success score, ratio of the best idle latency to the server's, load
 * factor, and capacity by age. It is divided by the best server's product and raised to a power. In panic mode, when
 * half of the servers are outliers, success score and latency are ignored.
 */
final class ServerWeights {

    /** Exponent of the product of factors, relative to the best server's product. */
    private static final int WEIGHT_EXPONENT = 15;

    /** Weight of a failing server, relative to the best server's 1: its trial traffic shows when it has recovered. */
    private static final double TRIAL_WEIGHT = 0.004;

    /** Lower bound of the product of success score and latency ratio, which gives the trial weight. */
    private static final double MIN_RELATIVE_HEALTH = StrictMath.pow(TRIAL_WEIGHT, 1.0 / WEIGHT_EXPONENT);

    /** Placeholder for the product of a failing server. */
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

    /** The weights as last computed, in the order of the subset's members. */
    double[] weights() {
        return weights;
    }

    double bestSuccessScore() {
        return bestSuccessScore;
    }

    /** Updates the subset, and the estimates, factors and limits of its members. */
    void refresh(double nowMs) {
        subset.refresh(nowMs);
        List<Server> members = subset.members();
        if (weights.length < members.size()) {
            weights = new double[members.size() * 2];
        }
        double meanIdleMs = latency.meanIdleMs(nowMs);
        double errorShare = outliers.errorShare(nowMs);
        int usable = 0;
        double minUnloadedMs = Double.POSITIVE_INFINITY;
        bestSuccessScore = 0;
        bestIdleLatencyMs = Double.POSITIVE_INFINITY;
        for (Server server : members) {
            refresh(server, meanIdleMs, errorShare, nowMs);
            minUnloadedMs = Math.min(minUnloadedMs, server.unloadedMs);
            bestSuccessScore = Math.max(bestSuccessScore, server.successScore);
            bestIdleLatencyMs = Math.min(bestIdleLatencyMs, server.idleLatencyMs);
            if (server.isUsable) {
                weights[usable++] = server.relativeHealth;
            }
        }
        isPanicking = OutlierDetection.isPanicking(weights, usable);
        double successesPerMs = latency.successesPerMs(nowMs) / Math.max(1, usable);
        slowStart.clearShares();
        for (Server server : members) {
            limiter.updateServer(server, successesPerMs, minUnloadedMs, nowMs);
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
        server.loadFactor = responsiveness / ((1 + server.inFlight) * (1 + server.inFlight));
    }

    /**
     * Computes the weights of all members, 0 for those that are not eligible.
     *
     * @return false if no eligible member can be selected, since all of them are failing or have a product of 0
     */
    boolean compute() {
        List<Server> members = subset.members();
        double best = 0;
        for (int i = 0; i < members.size(); i++) {
            Server server = members.get(i);
            double product = server.isEligible ? product(server) : 0;
            // A server that fails fast is always idle; its load factor must not raise it above the trial weight.
            boolean isFailing = product > 0 && !isPanicking && OutlierDetection.isFailing(server, bestSuccessScore);
            weights[i] = isFailing ? FAILING : product;
            best = Math.max(best, isFailing ? 0 : product);
        }
        if (best <= 0) {
            return false;
        }
        for (int i = 0; i < members.size(); i++) {
            weights[i] = weights[i] < 0
                    ? TRIAL_WEIGHT
                    : weights[i] == 0 ? 0 : IntegerPower.of(weights[i] / best, WEIGHT_EXPONENT);
        }
        return true;
    }

    private double product(Server server) {
        double relativeHealth = isPanicking ? 1 : server.successScore * bestIdleLatencyMs / server.idleLatencyMs;
        return Math.max(relativeHealth, MIN_RELATIVE_HEALTH) * server.loadFactor * server.capacity;
    }
}
