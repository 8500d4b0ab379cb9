package peppergauge.promises.control;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.control.ControllerState.PersistedZoneHealth;
import peppergauge.promises.outcome.OutcomeCounts;
import peppergauge.promises.outcome.OutcomeWindows;

/** Decides which zones are unhealthy for which tenants, by the objectives' windows. Not thread-safe. */
final class ZoneHealthTracker {

    /** Requests below which the miss ratio of a window is not used. */
    private static final int MIN_REQUESTS = 10;

    private final Map<String, Map<String, ZoneHealth>> healthByTenant = new TreeMap<>();

    /** Drops all tenants but these. */
    void retainTenants(Set<String> tenants) {
        healthByTenant.keySet().retainAll(tenants);
    }

    /** Updates the health of all zones for all tenants that have objectives. */
    void update(Map<String, List<ServiceLevelObjective>> objectivesByTenant, OutcomeWindows windows, long nowMs) {
        objectivesByTenant.forEach((tenant, objectives) -> {
            Map<String, ZoneHealth> byZone = healthByTenant.computeIfAbsent(tenant, each -> new TreeMap<>());
            for (String zone : windows.zones()) {
                byZone.compute(
                        zone,
                        (each, health) ->
                                next(health == null ? ZoneHealth.HEALTHY : health, objectives, windows, zone, nowMs));
            }
        });
    }

    private static ZoneHealth next(
            ZoneHealth health,
            List<ServiceLevelObjective> objectives,
            OutcomeWindows windows,
            String zone,
            long nowMs) {
        boolean failing = false;
        boolean recentlyGood = true;
        boolean goodInFull = true;
        long windowMs = objectives.get(0).windowsMs().get(0);
        long recentRequests = 0;
        long fullRequests = 0;
        for (ServiceLevelObjective objective : objectives) {
            OutcomeCounts recent = windows.recent(objective, zone, nowMs);
            OutcomeCounts full = windows.full(objective, zone, nowMs);
            boolean overBudget = recent.total() >= MIN_REQUESTS && recent.isMissRatioAbove(objective.errorBudget());
            failing |= overBudget && windows.isBudgetBurning(objective, nowMs);
            recentlyGood &= !overBudget && recent.missRatio() <= objective.errorBudget();
            goodInFull &= isGood(full, objective);
            recentRequests += recent.total();
            fullRequests += full.total();
        }
        if (!health.unhealthy()) {
            return failing ? health.markUnhealthy(nowMs, windowMs) : health;
        }
        // A clock that was set back must not extend the hold.
        boolean onHold = nowMs < health.holdUntilMs() && nowMs >= health.changedMs();
        boolean windowPassed = nowMs - health.changedMs() > windowMs;
        boolean withoutTraffic = windowPassed && fullRequests == 0;
        // An unhealthy zone receives few requests: the full window decides where the recent part has too few.
        boolean recovered = !onHold && recentlyGood && (recentRequests >= MIN_REQUESTS || windowPassed && goodInFull);
        return withoutTraffic || recovered ? health.markHealthy(nowMs) : health;
    }

    /** With too few requests for a ratio, any miss counts as not good. */
    private static boolean isGood(OutcomeCounts counts, ServiceLevelObjective objective) {
        return counts.total() < MIN_REQUESTS ? counts.missed() == 0 : counts.missRatio() <= objective.errorBudget();
    }

    /** Returns those of the allowed zones that are unhealthy for a tenant. */
    Set<String> unhealthyZones(String tenant, Set<String> allowed) {
        Set<String> unhealthy = new LinkedHashSet<>();
        healthByTenant.getOrDefault(tenant, Map.of()).forEach((zone, health) -> {
            if (health.unhealthy() && allowed.contains(zone)) {
                unhealthy.add(zone);
            }
        });
        return unhealthy;
    }

    /** Returns the health of all zones, for storage. */
    Map<String, Map<String, PersistedZoneHealth>> exportState() {
        Map<String, Map<String, PersistedZoneHealth>> all = new TreeMap<>();
        healthByTenant.forEach((tenant, byZone) -> {
            Map<String, PersistedZoneHealth> persisted = new TreeMap<>();
            byZone.forEach((zone, health) -> persisted.put(zone, PersistedZoneHealth.of(health)));
            all.put(tenant, persisted);
        });
        return all;
    }

    /** Merges the stored health of one tenant's zones; of two the latest change counts. */
    void mergeState(String tenant, Map<String, PersistedZoneHealth> stored) {
        stored.forEach((zone, persisted) -> healthByTenant
                .computeIfAbsent(tenant, each -> new TreeMap<>())
                .merge(zone, persisted.toZoneHealth(), ZoneHealth::latest));
    }
}
