package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.Tenant;
import peppergauge.lab.scenario.ZoneWeightPolicy;
import peppergauge.promises.CumulativeOutcomes;
import peppergauge.promises.MigrationCost;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerConfig;
import peppergauge.promises.control.ZoneWeightController;

/**
 * Model of the fleet service's zone weights: counts request outcomes by tenant, class and zone, decides with a delay on
 * zone weights, and delivers them to each sidecar after another delay. Does nothing without service level objectives.
 */
final class FleetServiceModel {

    /** Wall-clock time of the start of the run; any time long after the epoch. */
    private static final long START_WALL_CLOCK_MS = 1_000_000_000;
    /** Minimum number of requests in a period for a zone to be selected as the best. */
    private static final long MIN_REQUESTS = 5;

    private final EmulationContext context;
    private final ZoneWeightPolicy promises;
    private final List<String> zones;
    private final Map<TrafficKey, long[]> counters = new LinkedHashMap<>();
    private final Map<ServiceLevelObjective, List<Map<Long, long[]>>> windows = new LinkedHashMap<>();
    private final ZoneWeightController controller;
    private Map<TrafficKey, long[]> previousOutcomes = Map.of();
    private final Map<String, Map<String, Double>> bestZones = new TreeMap<>();
    private long others;
    private long othersInAim;
    private boolean down;

    FleetServiceModel(EmulationContext context) {
        this.context = context;
        promises = context.scenario.promises();
        zones = context.scenario.network().zones();
        long periodMs = Math.round(Scenario.toMillis(promises.period()));
        controller = new ZoneWeightController(new ControllerConfig(periodMs, promises.step(), 4 * periodMs));
        controller.setObjectives(context.scenario.contracts());
        context.scenario
                .contracts()
                .forEach(objective -> windows.put(
                        objective,
                        objective.windowsMs().stream()
                                .map(each -> (Map<Long, long[]>) new TreeMap<Long, long[]>())
                                .toList()));
    }

    void start() {
        if (!windows.isEmpty() && promises.policy() != ZoneWeightPolicy.Policy.NONE) {
            UniformRandomProvider random = context.streams.of("promises");
            context.time.after(Scenario.toMillis(promises.period()), () -> period(random));
        }
    }

    /** Stops the service's decisions, or resumes them with unchanged state. */
    void setDown(boolean down) {
        this.down = down;
    }

    // ---- Request outcomes ----

    void answered(ClientRequest request, int zone, double tookMs) {
        count(request, zones.get(zone), tookMs);
    }

    void unanswered(ClientRequest request) {
        count(request, TrafficKey.NO_ZONE, Double.POSITIVE_INFINITY);
    }

    private void count(ClientRequest request, String zone, double tookMs) {
        if (windows.isEmpty()) {
            return;
        }
        List<Tenant> tenants = context.scenario.tenants();
        RequestClassSpec kind = context.scenario.classes().get(request.kind);
        String tenant = tenants.isEmpty() ? "" : tenants.get(request.tenant).name();
        ServiceLevelObjective objective = windows.keySet().stream()
                .filter(each ->
                        each.tenant().equals(tenant) && each.requestClass().equals(kind.name()))
                .findFirst()
                .orElse(null);
        boolean met = tookMs <= (objective == null ? Scenario.toMillis(kind.deadline()) : objective.latencyMs());
        counters.computeIfAbsent(new TrafficKey(tenant, kind.name(), zone), trafficKey -> new long[2])[met ? 0 : 1]++;
        if (objective == null) {
            others++;
            othersInAim += tookMs <= Scenario.toMillis(kind.aim()) ? 1 : 0;
        } else {
            for (int i = 0; i < objective.windowsMs().size(); i++) {
                long number =
                        (long) (context.time.elapsedMs() / objective.windowsMs().get(i));
                windows.get(objective).get(i).computeIfAbsent(number, each -> new long[2])[met ? 0 : 1]++;
            }
        }
    }

    // ---- Decisions ----

    private void period(UniformRandomProvider random) {
        List<CumulativeOutcomes> outcomes = new ArrayList<>();
        counters.forEach(
                (trafficKey, counts) -> outcomes.add(new CumulativeOutcomes(trafficKey, counts[0], counts[1])));
        context.time.after(Scenario.toMillis(promises.told()), () -> decide(outcomes, random));
        context.time.after(Scenario.toMillis(promises.period()), () -> period(random));
    }

    private void decide(List<CumulativeOutcomes> outcomes, UniformRandomProvider random) {
        if (down) {
            return;
        }
        Map<String, Map<String, Double>> weights = switch (promises.policy()) {
            case STEERING ->
                controller
                        .decide(START_WALL_CLOCK_MS + (long) context.time.elapsedMs(), outcomes, MigrationCost.NONE)
                        .weights();
            case WINNER_TAKES_ALL -> bestZones(outcomes);
            default -> Map.of();
        };
        for (EmulatedSidecar sidecar : context.sidecars) {
            double[][] table = promises.policy() == ZoneWeightPolicy.Policy.NEAREST_FIRST
                    ? nearestZoneWeights(sidecar)
                    : table(weights);
            context.time.after(
                    Scenario.toMillis(promises.spread()) * random.nextDouble(), () -> sidecar.onZoneWeights(table));
        }
    }

    private double[][] table(Map<String, Map<String, Double>> weights) {
        return context.scenario.tenants().stream()
                .map(tenant -> zones.stream()
                        .mapToDouble(zone ->
                                weights.getOrDefault(tenant.name(), Map.of()).getOrDefault(zone, 1.0))
                        .toArray())
                .toArray(double[][]::new);
    }

    private double[][] nearestZoneWeights(EmulatedSidecar sidecar) {
        double[] row = new double[zones.size()];
        Arrays.fill(row, ZoneWeights.MIN_WEIGHT);
        row[sidecar.zone()] = 1;
        return context.scenario.tenants().stream().map(tenant -> row).toArray(double[][]::new);
    }

    /** Weights for each tenant's zone that met its objective for the largest share of requests in the last period. */
    private Map<String, Map<String, Double>> bestZones(List<CumulativeOutcomes> outcomes) {
        Map<String, Map<String, long[]>> now = new TreeMap<>();
        for (CumulativeOutcomes each : outcomes) {
            long[] was = previousOutcomes.getOrDefault(each.key(), new long[2]);
            if (windows.keySet().stream()
                            .anyMatch(objective ->
                                    objective.tenant().equals(each.key().tenant())
                                            && objective
                                                    .requestClass()
                                                    .equals(each.key().requestClass()))
                    && !each.key().zone().equals(TrafficKey.NO_ZONE)) {
                long[] sum = now.computeIfAbsent(each.key().tenant(), tenant -> new TreeMap<>())
                        .computeIfAbsent(each.key().zone(), zone -> new long[2]);
                sum[0] += each.met() - was[0];
                sum[1] += each.missed() - was[1];
            }
        }
        previousOutcomes = new LinkedHashMap<>();
        outcomes.forEach(each -> previousOutcomes.put(each.key(), new long[] {each.met(), each.missed()}));
        now.forEach((tenant, sums) -> {
            String best = null;
            double maxShare = -1;
            for (Map.Entry<String, long[]> each : sums.entrySet()) {
                long all = each.getValue()[0] + each.getValue()[1];
                double share = all < MIN_REQUESTS ? -1 : (double) each.getValue()[0] / all;
                best = share > maxShare ? each.getKey() : best;
                maxShare = Math.max(maxShare, share);
            }
            if (best != null) {
                Map<String, Double> row = new TreeMap<>();
                zones.forEach(zone -> row.put(zone, ZoneWeights.MIN_WEIGHT));
                row.put(best, 1.0);
                bestZones.put(tenant, row);
            }
        });
        return bestZones;
    }

    // ---- Results ----

    /**
     * Results over the ended windows of all objectives.
     *
     * @param windows number of ended windows
     * @param met windows whose objective was met
     * @param penalty sum of the penalties of the missed windows
     * @param maxPenalty sum of the penalties if all windows had been missed
     * @param othersInAim share of the requests without an objective that met the latency aim of their class
     */
    record ObjectiveTotals(long windows, long met, double penalty, double maxPenalty, double othersInAim) {}

    ObjectiveTotals objectiveTotals() {
        long all = 0;
        long met = 0;
        double penalty = 0;
        double maxPenalty = 0;
        for (Map.Entry<ServiceLevelObjective, List<Map<Long, long[]>>> each : windows.entrySet()) {
            ServiceLevelObjective objective = each.getKey();
            for (int i = 0; i < objective.windowsMs().size(); i++) {
                long endedWindows =
                        (long) (Scenario.toMillis(context.scenario.run().length())
                                / objective.windowsMs().get(i));
                for (Map.Entry<Long, long[]> window : each.getValue().get(i).entrySet()) {
                    if (window.getKey() < endedWindows) {
                        long[] counts = window.getValue();
                        boolean held = counts[0] >= objective.targetShare() * (counts[0] + counts[1]);
                        all++;
                        met += held ? 1 : 0;
                        penalty += held ? 0 : objective.penalty();
                        maxPenalty += objective.penalty();
                    }
                }
            }
        }
        return new ObjectiveTotals(all, met, penalty, maxPenalty, others == 0 ? 1 : (double) othersInAim / others);
    }
}
