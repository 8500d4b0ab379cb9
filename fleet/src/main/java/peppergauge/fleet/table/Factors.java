package peppergauge.fleet.table;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleBinaryOperator;
import peppergauge.promises.ZoneWeights;

/** Arithmetic on steerings; a factor that is left out is 1. */
public final class Factors {

    private Factors() {}

    public static double of(ZoneWeights steering, String station, String zone) {
        return steering.weights().getOrDefault(station, Map.of()).getOrDefault(zone, 1.0);
    }

    /** The largest difference of any factor. */
    public static double distance(ZoneWeights one, ZoneWeights other) {
        double[] most = {0};
        each(one, other, (a, b) -> {
            most[0] = Math.max(most[0], Math.abs(a - b));
            return 1;
        });
        return most[0];
    }

    /** From one towards the other, each factor by so much at the most. */
    public static ZoneWeights towards(ZoneWeights from, ZoneWeights to, double most) {
        return each(from, to, (a, b) -> a + Math.max(-most, Math.min(most, b - a)));
    }

    /** @param weight 1 for all of it, 0 for no steering */
    public static ZoneWeights faded(ZoneWeights steering, double weight) {
        return weight >= 1 ? steering : each(steering, ZoneWeights.NEUTRAL, (a, none) -> 1 - (1 - a) * weight);
    }

    private static ZoneWeights each(ZoneWeights one, ZoneWeights other, DoubleBinaryOperator factor) {
        Map<String, Map<String, Double>> all = new HashMap<>();
        for (String station : union(one.weights().keySet(), other.weights().keySet())) {
            Map<String, Double> zones = new HashMap<>();
            for (String zone : union(
                    one.weights().getOrDefault(station, Map.of()).keySet(),
                    other.weights().getOrDefault(station, Map.of()).keySet())) {
                double value = factor.applyAsDouble(of(one, station, zone), of(other, station, zone));
                if (value < 1) {
                    zones.put(zone, Math.max(ZoneWeights.MIN_WEIGHT, value));
                }
            }
            if (!zones.isEmpty()) {
                all.put(station, zones);
            }
        }
        return new ZoneWeights(all);
    }

    private static Set<String> union(Set<String> one, Set<String> other) {
        Set<String> union = new HashSet<>(one);
        union.addAll(other);
        return union;
    }
}
