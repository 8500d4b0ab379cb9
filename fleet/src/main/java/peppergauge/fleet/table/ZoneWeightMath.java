package peppergauge.fleet.table;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleBinaryOperator;
import peppergauge.promises.ZoneWeights;

/** Arithmetic on {@link ZoneWeights}; an absent weight is 1. */
public final class ZoneWeightMath {

    private ZoneWeightMath() {}

    /** Returns the weight of a zone for a tenant. */
    public static double weight(ZoneWeights weights, String tenant, String zone) {
        return weights.weights().getOrDefault(tenant, Map.of()).getOrDefault(zone, 1.0);
    }

    /** Returns the largest difference between any two corresponding weights. */
    public static double distance(ZoneWeights one, ZoneWeights other) {
        double[] most = {0};
        combine(one, other, (a, b) -> {
            most[0] = Math.max(most[0], Math.abs(a - b));
            return 1;
        });
        return most[0];
    }

    /** Returns the weights after one step towards others; each weight changes by {@code maxStep} at most. */
    public static ZoneWeights stepTowards(ZoneWeights from, ZoneWeights to, double maxStep) {
        return combine(from, to, (a, b) -> a + Math.max(-maxStep, Math.min(maxStep, b - a)));
    }

    /**
     * Returns weights that are faded towards neutral.
     *
     * @param part remaining part of the difference from neutral, 1 for no change, 0 for neutral
     */
    public static ZoneWeights fade(ZoneWeights weights, double part) {
        return part >= 1 ? weights : combine(weights, ZoneWeights.NEUTRAL, (a, neutral) -> 1 - (1 - a) * part);
    }

    private static ZoneWeights combine(ZoneWeights one, ZoneWeights other, DoubleBinaryOperator operator) {
        Map<String, Map<String, Double>> all = new HashMap<>();
        for (String tenant : union(one.weights().keySet(), other.weights().keySet())) {
            Map<String, Double> zones = new HashMap<>();
            for (String zone : union(
                    one.weights().getOrDefault(tenant, Map.of()).keySet(),
                    other.weights().getOrDefault(tenant, Map.of()).keySet())) {
                double value = operator.applyAsDouble(weight(one, tenant, zone), weight(other, tenant, zone));
                if (value < 1) {
                    zones.put(zone, Math.max(ZoneWeights.MIN_WEIGHT, value));
                }
            }
            if (!zones.isEmpty()) {
                all.put(tenant, zones);
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
