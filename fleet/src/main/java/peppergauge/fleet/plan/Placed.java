package peppergauge.fleet.plan;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import peppergauge.fleet.decide.Asked;
import peppergauge.promises.ZoneWeights;

/**
 * Where the fleet's sessions can go, and which change that answers are given for leads from one to another.
 *
 * @param servers their zones by id
 */
record Placed(Map<String, String> servers, ZoneWeights steering) {

    /** Steering drifts; less than this is no change. */
    private static final double STEERED = 0.1;
    /** Shares of replaced servers that count as the one asked about. */
    private static final double LIKE = 0.05;

    private static final double SHUNNED = 1.5 * ZoneWeights.MIN_WEIGHT;

    /** What was asked about, or why nothing was: one of the two is null. */
    record Change(Asked asked, Unscored not) {}

    Placed {
        servers = Map.copyOf(servers);
    }

    boolean like(Placed other) {
        return servers.equals(other.servers) && !steeredFrom(other);
    }

    boolean steeredFrom(Placed other) {
        return moved(other, "").size() > 0;
    }

    /** Zones, but for one, in which a station's factor moved. */
    private Set<String> moved(Placed other, String but) {
        Set<String> moved = new HashSet<>();
        for (Placed side : new Placed[] {this, other}) {
            side.steering
                    .weights()
                    .forEach((station, zones) -> zones.keySet().forEach(zone -> {
                        if (!zone.equals(but)
                                && Math.abs(factor(station, zone) - other.factor(station, zone)) > STEERED) {
                            moved.add(zone);
                        }
                    }));
        }
        return moved;
    }

    private double factor(String station, String zone) {
        return steering.weights().getOrDefault(station, Map.of()).getOrDefault(zone, 1.0);
    }

    /** @param stations all that have sessions */
    Change to(Placed next, Set<String> stations) {
        boolean steered = next.steeredFrom(this);
        if (servers.equals(next.servers)) {
            return steered ? shunned(next, stations) : not(Unscored.NOT_ASKED);
        }
        return steered ? not(Unscored.SEVERAL_AT_ONCE) : listed(next);
    }

    private Change listed(Placed next) {
        Map<String, Integer> gone = zones(servers, next.servers);
        Map<String, Integer> come = zones(next.servers, servers);
        Set<String> lost = new HashSet<>(servers.values());
        lost.removeAll(next.servers.values());
        if (come.isEmpty() && gone.size() == 1 && lost.equals(gone.keySet())) {
            return new Change(new Asked(Asked.Kind.ZONE_LOST, lost.iterator().next(), 0), null);
        }
        if (!lost.isEmpty()) {
            return not(Unscored.SEVERAL_AT_ONCE);
        }
        if (gone.equals(come)) {
            double share = gone.values().stream().mapToInt(count -> count).sum() / (double) servers.size();
            for (double asked : Asked.SHARES) {
                if (Math.abs(asked - share) <= LIKE) {
                    return new Change(new Asked(Asked.Kind.REPLACED, "", asked), null);
                }
            }
        }
        return not(
                gone.isEmpty() || come.isEmpty() || gone.equals(come) ? Unscored.NOT_ASKED : Unscored.SEVERAL_AT_ONCE);
    }

    /** By zone, how many of the one are not in the other. */
    private static Map<String, Integer> zones(Map<String, String> of, Map<String, String> without) {
        Map<String, Integer> zones = new TreeMap<>();
        new HashMap<>(of).forEach((id, zone) -> {
            if (!without.containsKey(id)) {
                zones.merge(zone, 1, Integer::sum);
            }
        });
        return zones;
    }

    private Change shunned(Placed next, Set<String> stations) {
        Set<String> moved = next.moved(this, "");
        String zone = moved.iterator().next();
        boolean all = moved.size() == 1
                && !stations.isEmpty()
                && stations.stream()
                        .allMatch(station ->
                                next.factor(station, zone) <= SHUNNED && factor(station, zone) > 1 - STEERED);
        return all ? new Change(new Asked(Asked.Kind.ZONE_SHUNNED, zone, 0), null) : not(Unscored.NOT_ASKED);
    }

    private static Change not(Unscored why) {
        return new Change(null, why);
    }
}
