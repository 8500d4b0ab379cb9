package peppergauge.forecast.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Placement of requests on servers.
 *
 * @param servers that take any requests
 * @param rule how the server of each request is chosen
 * @param subsetSize servers that one sidecar uses, chosen by its own order; 0 for all
 * @param sidecars share of all requests of each sidecar; sum to 1
 * @param zoneWeights by tenant, then by zone; absent weights are 1
 */
public record Placement(
        List<Server> servers,
        Rule rule,
        int subsetSize,
        List<Double> sidecars,
        Map<String, Map<String, Double>> zoneWeights) {

    /**
     * One incarnation of a backend server.
     *
     * @param weight its share of the requests is its weight over the sum of all, with neutral zone weights
     */
    public record Server(String id, String zone, double weight) {}

    /** Rule by which a server is chosen. */
    public sealed interface Rule {}

    /** Weighted random choice, regardless of the key. */
    public record WeightedRandom() implements Rule {}

    /**
     * Weighted rendezvous hashing: each request goes to a random one of its key's servers.
     *
     * @param servers number of servers of a key
     * @param bound bound of a server's load, as a multiple of its share; the excess goes to the key's next server; 0
     *     for none, else above 1
     * @param overMs time constant of the mean load, ms
     */
    public record Rendezvous(int servers, double bound, double overMs) implements Rule {}

    /** Number of values of {@link #loadFactors}. */
    private static final int LOAD_QUANTILES = 9;

    private static final int DRAWS_PER_QUANTILE = 64;
    private static final double SUM_TOLERANCE = 1e-6;

    public Placement {
        if (servers.isEmpty() || servers.stream().anyMatch(server -> !(server.weight() > 0))) {
            throw new IllegalArgumentException("expected one or more servers with weights above 0 but was " + servers);
        }
        servers = List.copyOf(servers);
        sidecars = List.copyOf(sidecars);
        zoneWeights = Map.copyOf(zoneWeights);
    }

    /** Returns the share of a tenant's requests that each server gets, mean over all sidecars. */
    public double[] shares(String tenant) {
        Map<String, Double> weights = zoneWeights.getOrDefault(tenant, Map.of());
        double[] shares = servers.stream()
                .mapToDouble(server -> server.weight() * weights.getOrDefault(server.zone(), 1.0))
                .toArray();
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        for (int i = 0; i < shares.length; i++) {
            shares[i] /= sum;
        }
        assert Math.abs(Arrays.stream(shares).sum() - 1) < SUM_TOLERANCE
                : "expected shares that sum to 1 but was " + Arrays.toString(shares);
        return shares;
    }

    /**
     * Returns quantiles of the servers' load as factors of the mean, ascending. Loads differ since each sidecar has a
     * subset of its own; which servers are in it is unknown.
     */
    public double[] loadFactors() {
        if (subsetSize == 0 || subsetSize >= servers.size() || rule instanceof Rendezvous) {
            return new double[] {1};
        }
        SplittableRandom random = new SplittableRandom(1);
        double chance = (double) subsetSize / servers.size();
        double[] drawn = new double[LOAD_QUANTILES * DRAWS_PER_QUANTILE];
        double sum = 0;
        for (int i = 0; i < drawn.length; i++) {
            for (double share : sidecars) {
                drawn[i] += random.nextDouble() < chance ? share : 0;
            }
            sum += drawn[i];
        }
        Arrays.sort(drawn);
        double[] factors = new double[LOAD_QUANTILES];
        for (int i = 0; i < drawn.length; i++) {
            factors[i / DRAWS_PER_QUANTILE] += drawn[i] / sum * LOAD_QUANTILES;
        }
        assert Math.abs(Arrays.stream(factors).sum() - LOAD_QUANTILES) < SUM_TOLERANCE
                : "expected load factors with a mean of 1 but was " + Arrays.toString(factors);
        return factors;
    }

    /** Returns this placement with other servers. */
    public Placement withServers(List<Server> others) {
        return new Placement(others, rule, subsetSize, sidecars, zoneWeights);
    }
}
