package peppergauge.promises.control;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.outcome.OutcomeCounts;
import peppergauge.promises.outcome.OutcomeWindows.PersistedWindows;

/**
 * State of the {@link ZoneWeightController} that survives a restart. Stored as JSON under the annotated names.
 *
 * <p>{@link #merge} is commutative, associative and idempotent: of each slot the greater counts, of each zone's health
 * the latest change, of each share and each weight the greater, of each capacity the lower.
 *
 * @param decidedAtMs time of the last decision, Unix ms
 * @param windows outcomes by key and window
 * @param shares planned shares by tenant and zone
 * @param weights published weights by tenant and zone
 * @param zoneHealth by tenant and zone
 * @param capacity requests per second by zone
 */
public record ControllerState(
        @JsonProperty("atMs") long decidedAtMs,
        List<PersistedWindows> windows,
        Map<String, Map<String, Double>> shares,
        @JsonProperty("factors") Map<String, Map<String, Double>> weights,
        @JsonProperty("flags") Map<String, Map<String, PersistedZoneHealth>> zoneHealth,
        @JsonProperty("holds") Map<String, Double> capacity) {

    /** Order in which windows are exported; a key has windows of two lengths if objectives changed on one side. */
    private static final Comparator<PersistedWindows> ORDER = Comparator.<PersistedWindows, String>comparing(
                    windows -> windows.key().tenant())
            .thenComparing(windows -> windows.key().requestClass())
            .thenComparing(windows -> windows.key().zone())
            .thenComparing(windows -> windows.windowsMs().toString());

    /** Stored form of {@link ZoneHealth}. */
    public record PersistedZoneHealth(
            @JsonProperty("bad") boolean unhealthy,
            @JsonProperty("untilMs") long holdUntilMs,
            long changedMs,
            @JsonProperty("flaps") int flapCount) {

        static PersistedZoneHealth of(ZoneHealth health) {
            return new PersistedZoneHealth(
                    health.unhealthy(), health.holdUntilMs(), health.changedMs(), health.flapCount());
        }

        ZoneHealth toZoneHealth() {
            return new ZoneHealth(unhealthy, holdUntilMs, changedMs, flapCount);
        }
    }

    /** Returns the merge of two states. */
    public static ControllerState merge(ControllerState one, ControllerState other) {
        ControllerState newer = one.decidedAtMs >= other.decidedAtMs ? one : other;
        ControllerState older = newer == one ? other : one;
        return new ControllerState(
                newer.decidedAtMs,
                mergeWindows(one.windows, other.windows),
                mergeNested(newer.shares, older.shares, Math::max),
                mergeNested(one.weights, other.weights, Math::max),
                mergeNested(one.zoneHealth, other.zoneHealth, ControllerState::latest),
                mergeMin(one.capacity, other.capacity));
    }

    private static PersistedZoneHealth latest(PersistedZoneHealth one, PersistedZoneHealth other) {
        return PersistedZoneHealth.of(ZoneHealth.latest(one.toZoneHealth(), other.toZoneHealth()));
    }

    private static <T> Map<String, Map<String, T>> mergeNested(
            Map<String, Map<String, T>> one, Map<String, Map<String, T>> other, BinaryOperator<T> merge) {
        Map<String, Map<String, T>> all = new TreeMap<>();
        List.of(one, other)
                .forEach(side -> side.forEach((tenant, zones) -> zones.forEach((zone, value) ->
                        all.computeIfAbsent(tenant, each -> new TreeMap<>()).merge(zone, value, merge))));
        return all;
    }

    private static Map<String, Double> mergeMin(Map<String, Double> one, Map<String, Double> other) {
        Map<String, Double> all = new TreeMap<>(one);
        other.forEach((zone, capacity) -> all.merge(zone, capacity, Math::min));
        return all;
    }

    private record WindowsKey(TrafficKey key, List<Long> windowsMs) {}

    private static List<PersistedWindows> mergeWindows(List<PersistedWindows> one, List<PersistedWindows> other) {
        Map<WindowsKey, List<Map<Long, OutcomeCounts>>> all = new LinkedHashMap<>();
        List<PersistedWindows> both = new ArrayList<>(one);
        both.addAll(other);
        both.forEach(each ->
                all.merge(new WindowsKey(each.key(), each.windowsMs()), each.windows(), ControllerState::mergeSlots));
        return all.entrySet().stream()
                .map(each ->
                        new PersistedWindows(each.getKey().key(), each.getKey().windowsMs(), each.getValue()))
                .sorted(ORDER)
                .toList();
    }

    private static List<Map<Long, OutcomeCounts>> mergeSlots(
            List<Map<Long, OutcomeCounts>> one, List<Map<Long, OutcomeCounts>> other) {
        List<Map<Long, OutcomeCounts>> all = new ArrayList<>();
        for (int i = 0; i < one.size(); i++) {
            Map<Long, OutcomeCounts> slots = new TreeMap<>(one.get(i));
            other.get(i).forEach((slot, counts) -> slots.merge(slot, counts, ControllerState::max));
            all.add(slots);
        }
        return all;
    }

    private static OutcomeCounts max(OutcomeCounts a, OutcomeCounts b) {
        return new OutcomeCounts(Math.max(a.met(), b.met()), Math.max(a.missed(), b.missed()));
    }
}
