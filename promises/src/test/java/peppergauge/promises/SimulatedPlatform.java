package peppergauge.promises;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.promises.control.ControllerConfig;
import peppergauge.promises.control.ZoneWeightController;

/**
 * A platform without chance: stations ask at fixed rates, factors are followed as sidecars do, zones miss what they are
 * told to, and what is over their capacity. What was missed may be asked again.
 */
final class SimulatedPlatform {

    static final long PERIOD_MS = 5_000;
    static final ControllerConfig TUNING = ControllerConfig.DEFAULT;

    final List<String> zones;
    final Map<String, Double> capacity = new HashMap<>();
    final Map<String, Double> lost = new HashMap<>();
    /** By station, class and zone, the share that is missed there; 0 if none is named. */
    final Map<TrafficKey, Double> misses = new HashMap<>();

    final Map<String, Map<String, Double>> load = new TreeMap<>();
    private final Map<String, Double> perS = new TreeMap<>();
    private final Map<String, String> classes = new HashMap<>();
    private final Map<TrafficKey, double[]> counted = new HashMap<>();
    double retries;
    long nowMs = 1_700_000_000_000L;
    ZoneWeights steering = ZoneWeights.NEUTRAL;

    SimulatedPlatform(String... zones) {
        this.zones = List.of(zones);
    }

    SimulatedPlatform station(String station, String kind, double rate) {
        perS.put(station, rate);
        classes.put(station, kind);
        return this;
    }

    static ServiceLevelObjective contract(String station, String kind, double penalty, String... allowed) {
        return new ServiceLevelObjective(
                station, kind, 0.95, 500, List.of(600_000L, 3_600_000L), penalty, List.of(allowed));
    }

    void miss(String station, String kind, String zone, double share) {
        misses.put(new TrafficKey(station, kind, zone), share);
    }

    /** A zone's share of a station's sessions, as lots make it: those for which it does not stand go elsewhere. */
    Map<String, Double> shares(String station) {
        Map<String, Double> factors = steering.weights().getOrDefault(station, Map.of());
        Map<String, Double> shares = new TreeMap<>();
        double free = 1;
        double full = 0;
        for (String zone : zones) {
            double natural = lost.getOrDefault(zone, 1.0) / zones.size();
            double factor = factors.getOrDefault(zone, 1.0);
            if (factor < 1) {
                shares.put(zone, Math.min(natural, 0.9 * factor));
                free -= shares.get(zone);
            } else {
                full += natural;
            }
        }
        for (String zone : zones) {
            double natural = lost.getOrDefault(zone, 1.0) / zones.size();
            if (full > 0) {
                shares.putIfAbsent(zone, free * natural / full);
            }
        }
        return shares;
    }

    void pass() {
        nowMs += PERIOD_MS;
        Map<String, Double> loads = new HashMap<>();
        Map<String, Double> asked = new HashMap<>();
        perS.forEach((station, rate) -> {
            asked.put(station, rate * (1 + retries * missed(station)));
            shares(station).forEach((zone, share) -> loads.merge(zone, share * asked.get(station), Double::sum));
        });
        perS.keySet().forEach(station -> {
            load.put(station, shares(station));
            shares(station).forEach((zone, share) -> {
                TrafficKey cell = new TrafficKey(station, classes.get(station), zone);
                double over = Math.max(0, 1 - capacity.getOrDefault(zone, 1e9) / Math.max(1e-9, loads.get(zone)));
                double miss = Math.max(over, misses.getOrDefault(cell, 0.0));
                double[] counts = counted.computeIfAbsent(cell, each -> new double[2]);
                double sessions = asked.get(station) * share * PERIOD_MS / 1e3;
                counts[0] += sessions * (1 - miss);
                counts[1] += sessions * miss;
                last.merge(station, miss * share, Double::sum);
            });
        });
    }

    private final Map<String, Double> last = new HashMap<>();

    private double missed(String station) {
        Double before = last.remove(station);
        return before == null ? 0 : before;
    }

    List<CumulativeOutcomes> evidence() {
        List<CumulativeOutcomes> all = new ArrayList<>();
        counted.forEach((cell, counts) -> all.add(new CumulativeOutcomes(cell, (long) counts[0], (long) counts[1])));
        return all;
    }

    /** So many periods, each with a decision. */
    void run(ZoneWeightController steerer, int periods) {
        for (int i = 0; i < periods; i++) {
            pass();
            steering = steerer.decide(nowMs, evidence(), MigrationCost.NONE);
        }
    }

    double factor(String station, String zone) {
        return steering.weights().getOrDefault(station, Map.of()).getOrDefault(zone, 1.0);
    }
}
