package peppergauge.fleet.table;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleBinaryOperator;
import peppergauge.promises.Steering;

/** Arithmetic on steerings; a factor that is left out is 1. */
public final class Factors {

    private Factors() {}

    public static double of(Steering steering, String station, String zone) {
        return steering.factors().getOrDefault(station, Map.of()).getOrDefault(zone, 1.0);
    }

    /** The largest difference of any factor. */
    public static double distance(Steering one, Steering other) {
        double[] most = {0};
        each(one, other, (a, b) -> {
            most[0] = Math.max(most[0], Math.abs(a - b));
            return 1;
        });
        return most[0];
    }

    /** From one towards the other, each factor by so much at the most. */
    public static Steering towards(Steering from, Steering to, double most) {
        return each(from, to, (a, b) -> a + Math.max(-most, Math.min(most, b - a)));
    }

    /** @param weight 1 for all of it, 0 for no steering */
    public static Steering faded(Steering steering, double weight) {
        return weight >= 1 ? steering : each(steering, Steering.NONE, (a, none) -> 1 - (1 - a) * weight);
    }

    private static Steering each(Steering one, Steering other, DoubleBinaryOperator factor) {
        Map<String, Map<String, Double>> all = new HashMap<>();
        for (String station : union(one.factors().keySet(), other.factors().keySet())) {
            Map<String, Double> zones = new HashMap<>();
            for (String zone : union(
                    one.factors().getOrDefault(station, Map.of()).keySet(),
                    other.factors().getOrDefault(station, Map.of()).keySet())) {
                double value = factor.applyAsDouble(of(one, station, zone), of(other, station, zone));
                if (value < 1) {
                    zones.put(zone, Math.max(Steering.FLOOR, value));
                }
            }
            if (!zones.isEmpty()) {
                all.put(station, zones);
            }
        }
        return new Steering(all);
    }

    private static Set<String> union(Set<String> one, Set<String> other) {
        Set<String> union = new HashSet<>(one);
        union.addAll(other);
        return union;
    }
}
