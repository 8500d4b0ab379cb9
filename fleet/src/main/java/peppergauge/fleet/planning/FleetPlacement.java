package peppergauge.fleet.planning;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import peppergauge.fleet.planner.ChangeQuery;
import peppergauge.promises.ZoneWeights;

/**
 * Servers and zone weights of the fleet. Recognizes which change leads from one placement to another.
 *
 * @param servers zones of the servers by id
 */
record FleetPlacement(Map<String, String> servers, ZoneWeights weights) {

    /** Largest change of a weight that is ignored. */
    private static final double MIN_WEIGHT_CHANGE = 0.1;
    /** Largest difference between a replaced share and the share of the query that it matches. */
    private static final double SHARE_TOLERANCE = 0.05;

    /** Weight up to which a zone counts as shunned. */
    private static final double SHUNNED_WEIGHT = 1.5 * ZoneWeights.MIN_WEIGHT;

    /** The query that a change matches, or the reason why it matches none; exactly one of them is null. */
    record RecognizedChange(ChangeQuery query, UnscoredReason unscored) {}

    FleetPlacement {
        servers = Map.copyOf(servers);
    }

    boolean isSimilarTo(FleetPlacement other) {
        return servers.equals(other.servers) && !differsInWeights(other);
    }

    boolean differsInWeights(FleetPlacement other) {
        return !changedZones(other).isEmpty();
    }

    /** Returns the zones in which the weight of any tenant changed. */
    private Set<String> changedZones(FleetPlacement other) {
        Set<String> changed = new HashSet<>();
        for (FleetPlacement side : new FleetPlacement[] {this, other}) {
            side.weights
                    .weights()
                    .forEach((tenant, zones) -> zones.keySet().forEach(zone -> {
                        if (!zone.isEmpty()
                                && Math.abs(weight(tenant, zone) - other.weight(tenant, zone)) > MIN_WEIGHT_CHANGE) {
                            changed.add(zone);
                        }
                    }));
        }
        return changed;
    }

    private double weight(String tenant, String zone) {
        return weights.weights().getOrDefault(tenant, Map.of()).getOrDefault(zone, 1.0);
    }

    /**
     * Returns the change that leads to the next placement.
     *
     * @param tenants all tenants with requests
     */
    RecognizedChange changeTo(FleetPlacement next, Set<String> tenants) {
        boolean weightsChanged = next.differsInWeights(this);
        if (servers.equals(next.servers)) {
            return weightsChanged ? weightChangeTo(next, tenants) : unscored(UnscoredReason.NOT_ASKED);
        }
        return weightsChanged ? unscored(UnscoredReason.SEVERAL_AT_ONCE) : listChangeTo(next);
    }

    private RecognizedChange listChangeTo(FleetPlacement next) {
        Map<String, Integer> removed = countByZone(servers, next.servers);
        Map<String, Integer> added = countByZone(next.servers, servers);
        Set<String> lost = new HashSet<>(servers.values());
        lost.removeAll(next.servers.values());
        if (added.isEmpty() && removed.size() == 1 && lost.equals(removed.keySet())) {
            return new RecognizedChange(
                    new ChangeQuery(ChangeQuery.Kind.ZONE_LOST, lost.iterator().next(), 0), null);
        }
        if (!lost.isEmpty()) {
            return unscored(UnscoredReason.SEVERAL_AT_ONCE);
        }
        if (removed.equals(added)) {
            double share = removed.values().stream().mapToInt(count -> count).sum() / (double) servers.size();
            for (double expected : ChangeQuery.REPLACED_SHARES) {
                if (Math.abs(expected - share) <= SHARE_TOLERANCE) {
                    return new RecognizedChange(new ChangeQuery(ChangeQuery.Kind.REPLACED, "", expected), null);
                }
            }
        }
        return unscored(
                removed.isEmpty() || added.isEmpty() || removed.equals(added)
                        ? UnscoredReason.NOT_ASKED
                        : UnscoredReason.SEVERAL_AT_ONCE);
    }

    /** Returns the number of servers by zone that are in the first map only. */
    private static Map<String, Integer> countByZone(Map<String, String> of, Map<String, String> without) {
        Map<String, Integer> zones = new TreeMap<>();
        new HashMap<>(of).forEach((id, zone) -> {
            if (!without.containsKey(id)) {
                zones.merge(zone, 1, Integer::sum);
            }
        });
        return zones;
    }

    private RecognizedChange weightChangeTo(FleetPlacement next, Set<String> tenants) {
        Set<String> changed = next.changedZones(this);
        String zone = changed.iterator().next();
        boolean all = changed.size() == 1
                && !tenants.isEmpty()
                && tenants.stream()
                        .allMatch(tenant -> next.weight(tenant, zone) <= SHUNNED_WEIGHT
                                && weight(tenant, zone) > 1 - MIN_WEIGHT_CHANGE);
        return all
                ? new RecognizedChange(new ChangeQuery(ChangeQuery.Kind.ZONE_SHUNNED, zone, 0), null)
                : unscored(UnscoredReason.NOT_ASKED);
    }

    private static RecognizedChange unscored(UnscoredReason reason) {
        return new RecognizedChange(null, reason);
    }
}
