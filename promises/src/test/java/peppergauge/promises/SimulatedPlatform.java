package peppergauge.promises;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.promises.control.ControllerConfig;
import peppergauge.promises.control.ZoneWeightController;

/**
 * Deterministic simulation of tenants, sidecars and zones. Tenants send requests at fixed rates, which are distributed
 * by zone weights as sidecars do. Zones miss the objective for a configured share of the requests, and for requests
 * beyond their capacity. Missed requests may be retried.
 */
final class SimulatedPlatform {

    static final long PERIOD_MS = 5_000;
    static final ControllerConfig CONFIG = ControllerConfig.DEFAULT;

    final List<String> zones;
    final Map<String, Double> capacity = new HashMap<>();
    /** Share of a zone's servers that are available, by zone; 1 if absent. */
    final Map<String, Double> available = new HashMap<>();

    /** Share of requests that miss the objective, by tenant, class and zone; 0 if absent. */
    final Map<TrafficKey, Double> misses = new HashMap<>();

    /** Shares of each tenant's requests by zone, in the last period. */
    final Map<String, Map<String, Double>> zoneShares = new TreeMap<>();

    private final Map<String, Double> requestsPerSecond = new TreeMap<>();
    private final Map<String, String> classes = new HashMap<>();
    /** Share of each tenant's requests that missed the objective in the last period. */
    private final Map<String, Double> missedShares = new HashMap<>();

    private final Map<TrafficKey, double[]> counted = new HashMap<>();
    /** Retries of each missed request, in the period after it. */
    double retriesPerMiss;

    long nowMs = 1_700_000_000_000L;
    ZoneWeights weights = ZoneWeights.NEUTRAL;

    SimulatedPlatform(String... zones) {
        this.zones = List.of(zones);
    }

    SimulatedPlatform withTenant(String tenant, String requestClass, double rate) {
        requestsPerSecond.put(tenant, rate);
        classes.put(tenant, requestClass);
        return this;
    }

    static ServiceLevelObjective objective(String tenant, String requestClass, double penalty, String... allowed) {
        return new ServiceLevelObjective(
                tenant, requestClass, 0.95, 500, List.of(600_000L, 3_600_000L), penalty, List.of(allowed));
    }

    void setMisses(String tenant, String requestClass, String zone, double share) {
        misses.put(new TrafficKey(tenant, requestClass, zone), share);
    }

    /**
     * Returns the share of a tenant's requests in each zone. A weight below 1 limits the share of its zone; the other
     * requests go to the zones with the weight 1.
     */
    Map<String, Double> shares(String tenant) {
        Map<String, Double> zoneWeights = weights.weights().getOrDefault(tenant, Map.of());
        Map<String, Double> shares = new TreeMap<>();
        double remaining = 1;
        double unlimited = 0;
        for (String zone : zones) {
            double natural = available.getOrDefault(zone, 1.0) / zones.size();
            double weight = zoneWeights.getOrDefault(zone, 1.0);
            if (weight < 1) {
                shares.put(zone, Math.min(natural, 0.9 * weight));
                remaining -= shares.get(zone);
            } else {
                unlimited += natural;
            }
        }
        for (String zone : zones) {
            double natural = available.getOrDefault(zone, 1.0) / zones.size();
            if (unlimited > 0) {
                shares.putIfAbsent(zone, remaining * natural / unlimited);
            }
        }
        return shares;
    }

    void runPeriod() {
        nowMs += PERIOD_MS;
        Map<String, Double> loads = new HashMap<>();
        Map<String, Double> sentPerSecond = new HashMap<>();
        requestsPerSecond.forEach((tenant, rate) -> {
            sentPerSecond.put(tenant, rate * (1 + retriesPerMiss * takeMissedShare(tenant)));
            shares(tenant).forEach((zone, share) -> loads.merge(zone, share * sentPerSecond.get(tenant), Double::sum));
        });
        requestsPerSecond.keySet().forEach(tenant -> {
            zoneShares.put(tenant, shares(tenant));
            shares(tenant).forEach((zone, share) -> {
                TrafficKey key = new TrafficKey(tenant, classes.get(tenant), zone);
                double over = Math.max(0, 1 - capacity.getOrDefault(zone, 1e9) / Math.max(1e-9, loads.get(zone)));
                double miss = Math.max(over, misses.getOrDefault(key, 0.0));
                double[] counts = counted.computeIfAbsent(key, each -> new double[2]);
                double requests = sentPerSecond.get(tenant) * share * PERIOD_MS / 1e3;
                counts[0] += requests * (1 - miss);
                counts[1] += requests * miss;
                missedShares.merge(tenant, miss * share, Double::sum);
            });
        });
    }

    private double takeMissedShare(String tenant) {
        Double missedShare = missedShares.remove(tenant);
        return missedShare == null ? 0 : missedShare;
    }

    List<CumulativeOutcomes> counters() {
        List<CumulativeOutcomes> all = new ArrayList<>();
        counted.forEach((key, counts) -> all.add(new CumulativeOutcomes(key, (long) counts[0], (long) counts[1])));
        return all;
    }

    /** Runs a number of periods, each with a decision at its end. */
    void run(ZoneWeightController controller, int periods) {
        for (int i = 0; i < periods; i++) {
            runPeriod();
            weights = controller.decide(nowMs, counters(), MigrationCost.NONE);
        }
    }

    double weight(String tenant, String zone) {
        return weights.weights().getOrDefault(tenant, Map.of()).getOrDefault(zone, 1.0);
    }
}
