package peppergauge.promises.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import peppergauge.promises.CumulativeOutcomes;
import peppergauge.promises.MigrationCost;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.allocation.Allocation;
import peppergauge.promises.allocation.AllocationRequest;
import peppergauge.promises.allocation.CapacityAllocator;
import peppergauge.promises.allocation.CapacityEstimator;
import peppergauge.promises.outcome.OutcomeCounts;
import peppergauge.promises.outcome.OutcomeWindows;

/**
 * Decides each tenant's zone weights, once a period.
 *
 * <p>Each period: counters go into sliding windows ({@link OutcomeWindows}); zones become unhealthy or healthy for
 * tenants ({@link ZoneHealthTracker}); capacity is allocated ({@link CapacityAllocator}); planned shares move by one
 * step at most ({@link ShareStepLimit}); and shares become weights ({@link TrafficModel}). A weight is the share of a
 * tenant's requests for which a zone's servers are eligible.
 *
 * <p>Not thread-safe.
 */
public final class ZoneWeightController {

    /** Periods without a decision after which the growth of counters is not attributed to a slot. */
    private static final int MAX_MISSED_PERIODS = 4;
    /** Largest ratio by which a weight changes in a period, within the range in which weights change shares. */
    private static final double MAX_WEIGHT_RATIO = 1.5;
    /** Relative change of a weight below which the former one is published again. */
    private static final double MIN_RELATIVE_CHANGE = 0.05;

    private final ControllerConfig config;
    private final OutcomeWindows windows = new OutcomeWindows();
    private final CapacityEstimator capacity = new CapacityEstimator();
    private final ZoneHealthTracker health = new ZoneHealthTracker();
    private final TrafficModel traffic = new TrafficModel();
    private Map<String, Map<String, Double>> shares = new TreeMap<>();
    private Map<String, Map<String, Double>> weights = new TreeMap<>();
    private Map<String, List<ServiceLevelObjective>> objectives = Map.of();
    private long lastDecisionMs = Long.MIN_VALUE;

    public ZoneWeightController(ControllerConfig config) {
        this.config = config;
    }

    /** Replaces the objectives. Tenants without any are no longer controlled. */
    public void setObjectives(List<ServiceLevelObjective> updated) {
        Map<String, List<ServiceLevelObjective>> byTenant = new TreeMap<>();
        updated.forEach(each -> byTenant.computeIfAbsent(each.tenant(), tenant -> new ArrayList<>())
                .add(each));
        objectives = byTenant;
        windows.setObjectives(updated);
        health.retainTenants(byTenant.keySet());
    }

    /**
     * Makes one period's decision.
     *
     * @param nowMs Unix time, ms; if the clock was set back, nothing is counted
     * @param counters cumulative, cluster-wide
     */
    public ZoneWeights decide(long nowMs, List<CumulativeOutcomes> counters, MigrationCost migrationCost) {
        boolean gap = isGap(nowMs);
        double elapsedMs = gap ? config.periodMs() : nowMs - lastDecisionMs;
        windows.record(nowMs, counters, gap);
        lastDecisionMs = nowMs;
        if (gap) {
            return currentWeights();
        }
        observe(elapsedMs);
        health.update(objectives, windows, nowMs);
        Set<String> zones = windows.zones();
        if (zones.isEmpty()) {
            // No zone has received a request yet, and shares over no zones cannot sum to 1.
            return currentWeights();
        }
        // A lost zone has no capacity.
        Allocation plan = CapacityAllocator.allocate(
                allocationRequests(zones, nowMs),
                zone -> isLost(zone, nowMs) ? 0 : capacity.requestsPerSecond(zone),
                migrationCost);
        Map<String, Map<String, Double>> before = shares;
        shares = ShareStepLimit.step(before, plan.shares(), traffic.naturalShares(), config.maxShareStep());
        assert ShareStepLimit.isWithinLimit(before, shares, config.maxShareStep())
                : "expected shares that sum to 1 and change by at most " + config.maxShareStep() + " but changed from "
                        + before + " to " + shares;
        weights = nextWeights(zones);
        assert objectives.keySet().containsAll(weights.keySet())
                : "expected weights only of tenants with objectives but was " + weights.keySet();
        return currentWeights();
    }

    private boolean isGap(long nowMs) {
        return lastDecisionMs == Long.MIN_VALUE
                || nowMs <= lastDecisionMs
                || nowMs - lastDecisionMs > MAX_MISSED_PERIODS * config.periodMs();
    }

    /** Returns whether no request has reached the zone within the stale time. */
    private boolean isLost(String zone, long nowMs) {
        return traffic.isLost(zone, nowMs, config.staleAfterMs());
    }

    private ZoneWeights currentWeights() {
        Map<String, Map<String, Double>> reduced = new TreeMap<>();
        weights.forEach((tenant, zones) -> {
            if (zones.values().stream().anyMatch(weight -> weight < 1)) {
                reduced.put(tenant, new TreeMap<>(zones));
            }
        });
        return new ZoneWeights(reduced);
    }

    private void observe(double elapsedMs) {
        for (String zone : windows.zones()) {
            OutcomeCounts counts = windows.sumLatest(key -> key.zone().equals(zone));
            if (counts.total() > 0) {
                capacity.observe(zone, counts, windows.latestOfObjectives(zone), elapsedMs);
            }
        }
        traffic.observe(windows, weights, lastDecisionMs, elapsedMs);
    }

    private List<AllocationRequest> allocationRequests(Set<String> zones, long nowMs) {
        List<AllocationRequest> requests = new ArrayList<>();
        // If all zones are lost the counters are stale: all zones are allowed, so that weights return to 1.
        boolean stale = zones.stream().allMatch(zone -> isLost(zone, nowMs));
        for (String tenant : windows.tenants()) {
            List<ServiceLevelObjective> own = objectives.getOrDefault(tenant, List.of());
            Set<String> allowed = stale ? zones : allowedZones(own, zones);
            Set<String> unhealthy = health.unhealthyZones(tenant, allowed);
            requests.add(new AllocationRequest(
                    tenant,
                    traffic.requestsPerSecond(tenant),
                    traffic.naturalSharesWithin(allowed),
                    unhealthy,
                    allowed,
                    unhealthy.isEmpty() ? 0 : penaltyAtRisk(own, nowMs)));
        }
        return requests;
    }

    private double penaltyAtRisk(List<ServiceLevelObjective> own, long nowMs) {
        double sum = 0;
        for (ServiceLevelObjective objective : own) {
            sum += objective.penalty()
                    * Math.min(1, windows.burnRates(objective, nowMs).get(0));
        }
        return sum;
    }

    /** Returns the zones that all objectives of a tenant allow, or all zones if none of the allowed ones is known. */
    private static Set<String> allowedZones(List<ServiceLevelObjective> own, Set<String> zones) {
        Set<String> allowed = new TreeSet<>(zones);
        allowed.removeIf(zone -> own.stream().anyMatch(objective -> !objective.allowsZone(zone)));
        return allowed.isEmpty() ? zones : allowed;
    }

    private Map<String, Map<String, Double>> nextWeights(Set<String> zones) {
        Map<String, Map<String, Double>> next = new TreeMap<>();
        for (String tenant : objectives.keySet()) {
            Map<String, Double> before = weights.getOrDefault(tenant, Map.of());
            Map<String, Double> planned = shares.getOrDefault(tenant, Map.of());
            Map<String, Double> byZone = new TreeMap<>();
            for (String zone : zones) {
                double target = traffic.weightFor(planned.getOrDefault(zone, 1.0), zone);
                byZone.put(zone, limitChange(before.getOrDefault(zone, 1.0), target, traffic.naturalWeight(zone)));
            }
            next.put(tenant, byZone);
        }
        return next;
    }

    /** Limits the change of a weight, and suppresses changes that are too small to matter. */
    private static double limitChange(double present, double target, double naturalWeight) {
        double least = Math.max(ZoneWeights.MIN_WEIGHT, Math.min(present, naturalWeight) / MAX_WEIGHT_RATIO);
        double most = present * MAX_WEIGHT_RATIO >= naturalWeight ? 1 : present * MAX_WEIGHT_RATIO;
        double next = Math.max(least, Math.min(most, target));
        boolean negligible =
                Math.abs(next - present) < MIN_RELATIVE_CHANGE * present && next < 1 && next > ZoneWeights.MIN_WEIGHT;
        return negligible ? present : next;
    }

    /** Returns the state that survives a restart. */
    public ControllerState exportState() {
        return new ControllerState(
                lastDecisionMs,
                windows.exportState(),
                copy(shares),
                copy(weights),
                health.exportState(),
                capacity.exportState());
    }

    private static Map<String, Map<String, Double>> copy(Map<String, Map<String, Double>> original) {
        Map<String, Map<String, Double>> copy = new TreeMap<>();
        original.forEach((tenant, zones) -> copy.put(tenant, new TreeMap<>(zones)));
        return copy;
    }

    /**
     * Restores stored state; objectives have to be set before. Of a state older than
     * {@link ControllerConfig#staleAfterMs} only windows and capacity are restored, not weights.
     */
    public void importState(ControllerState stored, long nowMs) {
        long ageMs = nowMs - stored.decidedAtMs();
        windows.mergeState(stored.windows());
        capacity.mergeState(stored.capacity(), ageMs);
        if (ageMs < 0 || ageMs > config.staleAfterMs()) {
            return;
        }
        shares = copy(stored.shares());
        shares.values().removeIf(zones -> !isUsable(zones));
        // Merged states have the greater share of both sides: their sum exceeds 1.
        shares.values().forEach(zones -> {
            double sum = zones.values().stream().mapToDouble(share -> share).sum();
            zones.replaceAll((zone, share) -> share / sum);
        });
        weights = copy(stored.weights());
        weights.values()
                .forEach(
                        zones -> zones.values().removeIf(weight -> !(weight >= ZoneWeights.MIN_WEIGHT && weight <= 1)));
        weights.keySet().retainAll(objectives.keySet());
        stored.zoneHealth().forEach((tenant, zones) -> {
            if (objectives.containsKey(tenant)) {
                health.mergeState(tenant, zones);
            }
        });
    }

    private static boolean isUsable(Map<String, Double> zones) {
        return zones.values().stream().allMatch(share -> share >= 0 && share <= 1)
                && zones.values().stream().mapToDouble(share -> share).sum() > 0;
    }

    /** Returns the planned shares by tenant and zone. */
    public Map<String, Map<String, Double>> plannedShares() {
        return copy(shares);
    }

    /** Returns the burn rate of each window of each objective: misses over the error budget. */
    public List<List<Double>> burnRates(Collection<ServiceLevelObjective> of, long nowMs) {
        return of.stream().map(objective -> windows.burnRates(objective, nowMs)).toList();
    }
}
