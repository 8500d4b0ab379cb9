package peppergauge.lab.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The zone factors that a reader of fleet tables reported as in force.
 *
 * @param tookMs time from the query, which is the event's time, to the response
 * @param leftMs time until the lease of its table ends; negative after that
 * @param factors by station and zone; a factor that is missing is 1
 */
public record ZoneFactorReport(double tookMs, long leftMs, Map<String, Map<String, Double>> factors) {

    private static final JsonMapper JSON = new JsonMapper();

    /** Returns this as JSON on one line. */
    public String json() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException serializationFailure) {
            throw new IllegalStateException(serializationFailure);
        }
    }

    /** @throws IllegalArgumentException if the text is not the JSON of this record */
    public static ZoneFactorReport read(String text) {
        try {
            return JSON.readValue(text, ZoneFactorReport.class);
        } catch (JsonProcessingException malformed) {
            throw new IllegalArgumentException("expected the JSON of zone factors, found: " + text, malformed);
        }
    }

    /** Returns the smallest factor, or 1 if no factor is below 1. */
    public double least() {
        return Math.min(
                1,
                factors.values().stream()
                        .flatMap(zones -> zones.values().stream())
                        .mapToDouble(factor -> factor)
                        .min()
                        .orElse(1));
    }

    /** Returns the largest factor; 1 if there is none. */
    double greatest() {
        return factors.values().stream()
                .flatMap(zones -> zones.values().stream())
                .mapToDouble(factor -> factor)
                .max()
                .orElse(1);
    }

    /** Returns the largest absolute difference of any factor from the given ones. */
    double maxDifference(Map<String, Map<String, Double>> others) {
        Set<String> stations = new HashSet<>(factors.keySet());
        stations.addAll(others.keySet());
        double maxDifference = 0;
        for (String station : stations) {
            Map<String, Double> here = factors.getOrDefault(station, Map.of());
            Map<String, Double> there = others.getOrDefault(station, Map.of());
            Set<String> zones = new HashSet<>(here.keySet());
            zones.addAll(there.keySet());
            for (String zone : zones) {
                double difference = here.getOrDefault(zone, 1.0) - there.getOrDefault(zone, 1.0);
                maxDifference = Math.max(maxDifference, Math.abs(difference));
            }
        }
        return maxDifference;
    }
}
