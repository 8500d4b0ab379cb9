package peppergauge.forecast.hitrate;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.forecast.placement.KeyPlacement;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.PlacementStep;
import peppergauge.forecast.popularity.KeyPopularity;

/** Shares of the requests that each server gets over time, with servers of equal shares grouped. */
final class PlacementTimeline {

    /**
     * Servers with equal shares.
     *
     * @param count number of servers; a fraction for a quantile of the load factor
     * @param shares by tenant, then by step: share of the tenant's requests at one of them
     */
    record Group(List<String> ids, double count, double[][] shares) {}

    /** Starts of the steps, ms: minus infinity, 0 and those after it. */
    final double[] stepStartsMs;

    final List<Placement> placements = new ArrayList<>();
    final List<KeyPlacement> keyPlacements = new ArrayList<>();
    final List<Group> groups = new ArrayList<>();

    PlacementTimeline(Placement before, List<PlacementStep> steps, List<String> tenants, KeyPopularity popularity) {
        stepStartsMs = new double[steps.size() + 1];
        stepStartsMs[0] = Double.NEGATIVE_INFINITY;
        placements.add(before);
        for (int i = 0; i < steps.size(); i++) {
            stepStartsMs[i + 1] = steps.get(i).atMs();
            placements.add(steps.get(i).placement());
        }
        placements.forEach(placement -> keyPlacements.add(new KeyPlacement(placement, popularity)));
        groupServers(tenants);
    }

    private void groupServers(List<String> tenants) {
        Map<String, double[][]> byServer = new LinkedHashMap<>();
        for (int step = 0; step < stepStartsMs.length; step++) {
            for (int tenant = 0; tenant < tenants.size(); tenant++) {
                double[] shares = placements.get(step).shares(tenants.get(tenant));
                int at = 0;
                for (Server server : placements.get(step).servers()) {
                    byServer.computeIfAbsent(server.id(), id -> new double[tenants.size()][stepStartsMs.length])[
                                    tenant][step] =
                            shares[at++];
                }
            }
        }
        Map<String, List<String>> byShares = new LinkedHashMap<>();
        byServer.forEach((id, scaled) -> byShares.computeIfAbsent(Arrays.deepToString(scaled), any -> new ArrayList<>())
                .add(id));
        byShares.values().forEach(ids -> addGroups(ids, byServer.get(ids.get(0))));
    }

    /** Adds a group for each quantile of the load factor, which sidecars' subsets cause. */
    private void addGroups(List<String> ids, double[][] byServer) {
        List<double[]> factors = placements.stream().map(Placement::loadFactors).toList();
        int values = factors.stream().mapToInt(each -> each.length).max().orElse(1);
        for (int value = 0; value < values; value++) {
            double[][] scaled = new double[byServer.length][];
            for (int tenant = 0; tenant < byServer.length; tenant++) {
                scaled[tenant] = byServer[tenant].clone();
                for (int step = 0; step < stepStartsMs.length; step++) {
                    scaled[tenant][step] *= factors.get(step)[Math.min(value, factors.get(step).length - 1)];
                }
            }
            groups.add(new Group(ids, (double) ids.size() / values, scaled));
        }
    }

    /** Returns the step at a time. */
    int stepAt(double ms) {
        int step = 0;
        while (step + 1 < stepStartsMs.length && stepStartsMs[step + 1] <= ms) {
            step++;
        }
        return step;
    }
}
