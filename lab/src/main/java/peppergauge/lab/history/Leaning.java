package peppergauge.lab.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What a reader of fleet tables said is in force.
 *
 * @param tookMs from the asking, which is its event's time, to the answer
 * @param leftMs until the lease of its table is over; negative since then
 * @param factors by station and data centre; 1 where there is none
 */
public record Leaning(double tookMs, long leftMs, Map<String, Map<String, Double>> factors) {

    private static final JsonMapper JSON = new JsonMapper();

    /** On one line. */
    public String json() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** @throws IllegalArgumentException if the text is none */
    public static Leaning read(String text) {
        try {
            return JSON.readValue(text, Leaning.class);
        } catch (JsonProcessingException malformed) {
            throw new IllegalArgumentException(text, malformed);
        }
    }

    /** The least factor of all, 1 at the most. */
    public double least() {
        return Math.min(
                1,
                factors.values().stream()
                        .flatMap(each -> each.values().stream())
                        .mapToDouble(each -> each)
                        .min()
                        .orElse(1));
    }

    double greatest() {
        return factors.values().stream()
                .flatMap(each -> each.values().stream())
                .mapToDouble(each -> each)
                .max()
                .orElse(1);
    }

    /** The largest difference of any factor. */
    double farFrom(Map<String, Map<String, Double>> others) {
        Set<String> stations = new HashSet<>(factors.keySet());
        stations.addAll(others.keySet());
        double far = 0;
        for (String station : stations) {
            Map<String, Double> here = factors.getOrDefault(station, Map.of());
            Map<String, Double> there = others.getOrDefault(station, Map.of());
            Set<String> zones = new HashSet<>(here.keySet());
            zones.addAll(there.keySet());
            for (String zone : zones) {
                far = Math.max(far, Math.abs(here.getOrDefault(zone, 1.0) - there.getOrDefault(zone, 1.0)));
            }
        }
        return far;
    }
}
