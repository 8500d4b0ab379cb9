package peppergauge.promises;

import java.util.Map;

/**
 * What sidecars are told: how each station leans to each data centre.
 *
 * @param factors by station, then by data centre: a factor on a server's weight, from {@link #FLOOR} to 1; whatever
 *     is left out is 1
 */
public record Steering(Map<String, Map<String, Double>> factors) {

    /** Least factor: evidence of a data centre never ends. */
    public static final double FLOOR = 0.05;

    /** Steers nothing. */
    public static final Steering NONE = new Steering(Map.of());

    public Steering {
        factors.values()
                .forEach(zones -> zones.values().forEach(factor -> {
                    if (!(factor >= FLOOR && factor <= 1)) {
                        throw new IllegalArgumentException("a factor has to be from " + FLOOR + " to 1, not " + factor);
                    }
                }));
        factors = Map.copyOf(factors);
    }
}
