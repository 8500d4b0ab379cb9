package peppergauge.forecast.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import peppergauge.forecast.placement.Placement.Rule;
import peppergauge.forecast.placement.Placement.Server;

/** A change of placement that can be asked about. */
public sealed interface PlacementChange {

    /** What it makes of a placement, in order of time, the first at 0. */
    List<Step> steps(Placement before);

    /** New servers take their part at once, with empty memories. */
    record Come(List<Server> servers) implements PlacementChange {
        @Override
        public List<Step> steps(Placement before) {
            List<Server> all = new ArrayList<>(before.servers());
            all.addAll(servers);
            return List.of(new Step(0, before.with(all)));
        }
    }

    /** Servers leave, by id. */
    record Leave(Set<String> ids) implements PlacementChange {
        @Override
        public List<Step> steps(Placement before) {
            return List.of(new Step(
                    0,
                    before.with(before.servers().stream()
                            .filter(server -> !ids.contains(server.id()))
                            .toList())));
        }
    }

    /** Servers are replaced by ones with empty memories, one after another in this order, evenly over a time. */
    record Replace(List<String> ids, double overMs) implements PlacementChange {

        /** Steps that such a change is reckoned with; more are not told apart. */
        private static final int MOST_STEPS = 7;

        @Override
        public List<Step> steps(Placement before) {
            int batches = Math.min(MOST_STEPS, ids.size());
            List<Step> steps = new ArrayList<>();
            List<Server> now = new ArrayList<>(before.servers());
            for (int batch = 0; batch < batches; batch++) {
                Set<String> gone =
                        Set.copyOf(ids.subList(batch * ids.size() / batches, (batch + 1) * ids.size() / batches));
                now.replaceAll(server -> gone.contains(server.id())
                        ? new Server(server.id() + ".new", server.zone(), server.weight())
                        : server);
                // In the midst of its batch's time, but the first at once.
                steps.add(new Step(batch == 0 ? 0 : overMs * (batch + 0.5) / batches, before.with(now)));
            }
            return steps;
        }
    }

    /** All servers of a zone leave. */
    record ZoneLost(String zone) implements PlacementChange {
        @Override
        public List<Step> steps(Placement before) {
            return List.of(new Step(
                    0,
                    before.with(before.servers().stream()
                            .filter(server -> !server.zone().equals(zone))
                            .toList())));
        }
    }

    /** All weights of a zone are multiplied. */
    record ZoneShunned(String zone, double factor) implements PlacementChange {
        @Override
        public List<Step> steps(Placement before) {
            return List.of(new Step(
                    0,
                    before.with(before.servers().stream()
                            .map(server -> server.zone().equals(zone)
                                    ? new Server(server.id(), zone, server.weight() * factor)
                                    : server)
                            .toList())));
        }
    }

    /** Sidecars work with so many servers each; 0 for all. */
    record Members(int members) implements PlacementChange {
        @Override
        public List<Step> steps(Placement before) {
            return List.of(new Step(
                    0, new Placement(before.servers(), before.rule(), members, before.sidecars(), before.steering())));
        }
    }

    /** Sessions are placed by another rule. */
    record Ruled(Rule rule) implements PlacementChange {
        @Override
        public List<Step> steps(Placement before) {
            return List.of(new Step(
                    0, new Placement(before.servers(), rule, before.members(), before.sidecars(), before.steering())));
        }
    }

    /** A station's sessions lean to zones by these factors from now on. */
    record Steered(String station, Map<String, Double> factors) implements PlacementChange {
        @Override
        public List<Step> steps(Placement before) {
            Map<String, Map<String, Double>> steering = new HashMap<>(before.steering());
            steering.put(station, Map.copyOf(factors));
            return List.of(new Step(
                    0, new Placement(before.servers(), before.rule(), before.members(), before.sidecars(), steering)));
        }
    }
}
