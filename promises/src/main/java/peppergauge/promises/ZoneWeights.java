package peppergauge.promises;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;

/**
 * Weights of zones for each tenant, as published to sidecars. Immutable.
 *
 * @param weights by tenant, then by zone, from {@link #MIN_WEIGHT} to 1; a weight that is absent is 1; {@code factors}
 *     in JSON
 */
public record ZoneWeights(@JsonProperty("factors") Map<String, Map<String, Double>> weights) {

    /** Minimum weight: some requests always reach a zone, so that its recovery is observed. */
    public static final double MIN_WEIGHT = 0.05;

    /** All weights are 1. */
    public static final ZoneWeights NEUTRAL = new ZoneWeights(Map.of());

    /** @throws IllegalArgumentException if a weight is out of range */
    public ZoneWeights {
        weights.values()
                .forEach(zones -> zones.values().forEach(weight -> {
                    if (!(weight >= MIN_WEIGHT && weight <= 1)) {
                        throw new IllegalArgumentException(
                                "expected a weight from " + MIN_WEIGHT + " to 1 but was " + weight);
                    }
                }));
        weights = Map.copyOf(weights);
    }
}
