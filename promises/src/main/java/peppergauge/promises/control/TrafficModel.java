package peppergauge.promises.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.outcome.OutcomeCounts;
import peppergauge.promises.outcome.OutcomeWindows;

/**
 * Learns how traffic spreads: each tenant's request rate, the natural share of each zone, and which part of the
 * requests for which a zone is eligible it attracts. Not thread-safe.
 */
final class TrafficModel {

    /** Requests in a period below which natural shares are not learned. */
    private static final int MIN_REQUESTS = 10;
    /** Weight of the newest period in all means. */
    private static final double SMOOTHING = 0.2;
    /** Attraction of a zone whose weight was never reduced. */
    private static final double DEFAULT_ATTRACTION = 0.8;

    private static final double MIN_ATTRACTION = 0.01;
    /** Weight below which the requests of a tenant are used to learn the attraction of a zone. */
    private static final double REDUCED_WEIGHT = 0.9;

    private static final double EPSILON = 1e-9;
    private static final double SHARE_TOLERANCE = 1e-6;

    private final Map<String, Double> naturalShares = new TreeMap<>();
    private final Map<String, Double> attraction = new TreeMap<>();
    private final Map<String, Double> requestsPerSecond = new HashMap<>();
    private final Map<String, Long> lastSeenMs = new HashMap<>();

    /**
     * Learns from the latest period.
     *
     * @param weights in force during the period, by tenant and zone
     * @param periodMs length of the period, ms
     */
    void observe(OutcomeWindows windows, Map<String, Map<String, Double>> weights, long nowMs, double periodMs) {
        Set<String> zones = windows.zones();
        for (String zone : zones) {
            if (windows.sumLatest(key -> key.zone().equals(zone)).total() > 0) {
                lastSeenMs.put(zone, nowMs);
            }
        }
        for (String tenant : windows.tenants()) {
            OutcomeCounts counts = windows.sumLatest(key -> key.tenant().equals(tenant));
            requestsPerSecond.merge(tenant, counts.total() * 1e3 / periodMs, TrafficModel::smooth);
        }
        learnNaturalShares(windows, weights, zones);
        learnAttraction(windows, weights, zones);
    }

    private static double smooth(double mean, double fresh) {
        return mean + SMOOTHING * (fresh - mean);
    }

    /** Learns natural shares from tenants whose weights are all neutral. */
    private void learnNaturalShares(
            OutcomeWindows windows, Map<String, Map<String, Double>> weights, Set<String> zones) {
        Set<String> neutral = windows.tenants();
        neutral.removeIf(tenant ->
                weights.getOrDefault(tenant, Map.of()).values().stream().anyMatch(weight -> weight < 1));
        double all = windows.sumLatest(
                        key -> neutral.contains(key.tenant()) && !key.zone().equals(TrafficKey.NO_ZONE))
                .total();
        for (String zone : zones) {
            double here = windows.sumLatest(
                            key -> neutral.contains(key.tenant()) && key.zone().equals(zone))
                    .total();
            if (all >= MIN_REQUESTS) {
                naturalShares.merge(zone, here / all, TrafficModel::smooth);
            }
            naturalShares.putIfAbsent(zone, 1.0 / zones.size());
            // The share of a zone without any request falls, even if no tenant has neutral weights.
            boolean withoutRequests = windows.sumLatest(key -> true).total() >= MIN_REQUESTS
                    && windows.sumLatest(key -> key.zone().equals(zone)).total() == 0;
            naturalShares.computeIfPresent(zone, (each, share) -> withoutRequests ? share * (1 - SMOOTHING) : share);
        }
        double sum = naturalShares.values().stream().mapToDouble(share -> share).sum();
        naturalShares.replaceAll((zone, share) -> share / Math.max(sum, EPSILON));
        assert naturalShares.keySet().containsAll(zones)
                        && naturalShares.values().stream().allMatch(share -> share >= 0 && share <= 1 + EPSILON)
                : "expected natural shares from 0 to 1 for zones " + zones + " but was " + naturalShares;
    }

    /**
     * Learns which part of the requests for which a zone with a reduced weight is eligible goes there. Such a zone has
     * little load, so most of them do.
     */
    private void learnAttraction(OutcomeWindows windows, Map<String, Map<String, Double>> weights, Set<String> zones) {
        for (String zone : zones) {
            double eligible = 0;
            double received = 0;
            for (Map.Entry<String, Map<String, Double>> each : weights.entrySet()) {
                double weight = each.getValue().getOrDefault(zone, 1.0);
                if (weight < REDUCED_WEIGHT) {
                    String tenant = each.getKey();
                    eligible += weight
                            * windows.sumLatest(key -> key.tenant().equals(tenant)
                                            && !key.zone().equals(TrafficKey.NO_ZONE))
                                    .total();
                    received += windows.sumLatest(key ->
                                    key.tenant().equals(tenant) && key.zone().equals(zone))
                            .total();
                }
            }
            if (eligible >= 1) {
                double observed = Math.max(naturalShares.get(zone), Math.min(1, received / eligible));
                attraction.merge(zone, observed, TrafficModel::smooth);
                assert attraction.get(zone) >= 0 && attraction.get(zone) <= 1 + EPSILON
                        : "expected an attraction from 0 to 1 but was " + attraction.get(zone) + " in zone " + zone;
            }
        }
    }

    /** Returns whether no request reached the zone for {@code staleAfterMs}. */
    boolean isLost(String zone, long nowMs, long staleAfterMs) {
        return nowMs - lastSeenMs.getOrDefault(zone, Long.MIN_VALUE / 2) > staleAfterMs;
    }

    /** Returns a tenant's requests per second over all zones, smoothed. */
    double requestsPerSecond(String tenant) {
        return requestsPerSecond.getOrDefault(tenant, 0.0);
    }

    /** Returns the natural share of each zone; not to be changed by the caller. */
    Map<String, Double> naturalShares() {
        return naturalShares;
    }

    /** Returns the natural shares of a tenant that may use these zones alone; they sum to 1. */
    Map<String, Double> naturalSharesWithin(Set<String> allowed) {
        double sum = allowed.stream().mapToDouble(naturalShares::get).sum();
        Map<String, Double> shares = new TreeMap<>();
        naturalShares.forEach((zone, share) ->
                shares.put(zone, !allowed.contains(zone) ? 0 : sum > EPSILON ? share / sum : 1.0 / allowed.size()));
        return shares;
    }

    /** Returns the weight at which a zone gets a share of a tenant's requests; 1 from its natural share on. */
    double weightFor(double share, String zone) {
        double natural = naturalShares.getOrDefault(zone, 0.0);
        return share >= natural - SHARE_TOLERANCE ? 1 : clampToWeight(share / attraction(zone));
    }

    /** Returns the weight at which a zone gets its natural share: from here to 1, weights change little. */
    double naturalWeight(String zone) {
        return clampToWeight(naturalShares.getOrDefault(zone, 0.0) / attraction(zone));
    }

    private static double clampToWeight(double value) {
        return Math.max(ZoneWeights.MIN_WEIGHT, Math.min(1, value));
    }

    private double attraction(String zone) {
        return Math.max(MIN_ATTRACTION, attraction.getOrDefault(zone, DEFAULT_ATTRACTION));
    }
}
