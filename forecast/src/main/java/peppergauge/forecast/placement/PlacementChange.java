package peppergauge.forecast.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import peppergauge.forecast.placement.Placement.Rule;
import peppergauge.forecast.placement.Placement.Server;

/** A change of placement that forecasts can be made for. */
public sealed interface PlacementChange {

    /** Returns the placements that the change leads to, in order of time, the first at 0. */
    List<PlacementStep> steps(Placement before);

    /** New servers with cold caches take their share at once. */
    record ServersAdded(List<Server> servers) implements PlacementChange {
        @Override
        public List<PlacementStep> steps(Placement before) {
            List<Server> all = new ArrayList<>(before.servers());
            all.addAll(servers);
            return List.of(new PlacementStep(0, before.withServers(all)));
        }
    }

    /** Servers leave. */
    record ServersRemoved(Set<String> ids) implements PlacementChange {
        @Override
        public List<PlacementStep> steps(Placement before) {
            return List.of(new PlacementStep(
                    0,
                    before.withServers(before.servers().stream()
                            .filter(server -> !ids.contains(server.id()))
                            .toList())));
        }
    }

    /** Servers are replaced by ones with cold caches, in this order, evenly over a time in ms. */
    record ServersReplaced(List<String> ids, double overMs) implements PlacementChange {

        /** Maximum number of steps into which the replacement is divided. */
        private static final int MAX_STEPS = 7;

        @Override
        public List<PlacementStep> steps(Placement before) {
            int batches = Math.min(MAX_STEPS, ids.size());
            List<PlacementStep> steps = new ArrayList<>();
            List<Server> current = new ArrayList<>(before.servers());
            for (int batch = 0; batch < batches; batch++) {
                Set<String> replaced =
                        Set.copyOf(ids.subList(batch * ids.size() / batches, (batch + 1) * ids.size() / batches));
                current.replaceAll(server -> replaced.contains(server.id())
                        ? new Server(server.id() + ".new", server.zone(), server.weight())
                        : server);
                // Each step is in the middle of the time of its batch, except the first, which is at 0.
                double atMs = batch == 0 ? 0 : overMs * (batch + 0.5) / batches;
                steps.add(new PlacementStep(atMs, before.withServers(current)));
            }
            return steps;
        }
    }

    /** All servers of a zone leave. */
    record ZoneLost(String zone) implements PlacementChange {
        @Override
        public List<PlacementStep> steps(Placement before) {
            return List.of(new PlacementStep(
                    0,
                    before.withServers(before.servers().stream()
                            .filter(server -> !server.zone().equals(zone))
                            .toList())));
        }
    }

    /** All server weights of a zone are multiplied by a factor. */
    record ZoneShunned(String zone, double factor) implements PlacementChange {
        @Override
        public List<PlacementStep> steps(Placement before) {
            return List.of(new PlacementStep(
                    0,
                    before.withServers(before.servers().stream()
                            .map(server -> server.zone().equals(zone)
                                    ? new Server(server.id(), zone, server.weight() * factor)
                                    : server)
                            .toList())));
        }
    }

    /** Sidecars use subsets of another size; 0 for all servers. */
    record SubsetSizeChanged(int subsetSize) implements PlacementChange {
        @Override
        public List<PlacementStep> steps(Placement before) {
            return List.of(new PlacementStep(
                    0,
                    new Placement(
                            before.servers(), before.rule(), subsetSize, before.sidecars(), before.zoneWeights())));
        }
    }

    /** Servers are chosen by another rule. */
    record RuleChanged(Rule rule) implements PlacementChange {
        @Override
        public List<PlacementStep> steps(Placement before) {
            return List.of(new PlacementStep(
                    0,
                    new Placement(
                            before.servers(), rule, before.subsetSize(), before.sidecars(), before.zoneWeights())));
        }
    }

    /** A tenant gets these zone weights. */
    record ZoneWeightsChanged(String tenant, Map<String, Double> weights) implements PlacementChange {
        @Override
        public List<PlacementStep> steps(Placement before) {
            Map<String, Map<String, Double>> zoneWeights = new HashMap<>(before.zoneWeights());
            zoneWeights.put(tenant, Map.copyOf(weights));
            return List.of(new PlacementStep(
                    0,
                    new Placement(
                            before.servers(), before.rule(), before.subsetSize(), before.sidecars(), zoneWeights)));
        }
    }
}
