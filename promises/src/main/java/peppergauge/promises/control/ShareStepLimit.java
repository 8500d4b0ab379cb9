package peppergauge.promises.control;

import java.util.Map;
import java.util.TreeMap;

/** Limits how far planned shares change in one period. */
final class ShareStepLimit {

    private static final double SUM_TOLERANCE = 1e-6;
    private static final double STEP_TOLERANCE = 1e-9;

    private ShareStepLimit() {}

    /**
     * Returns the shares after one step towards the target. All shares of a tenant change by the same fraction of their
     * distance, so that they still sum to 1.
     *
     * @param present by tenant and zone
     * @param initial shares by zone of tenants that have none yet
     * @param maxStep most that a share may change
     */
    static Map<String, Map<String, Double>> step(
            Map<String, Map<String, Double>> present,
            Map<String, Map<String, Double>> target,
            Map<String, Double> initial,
            double maxStep) {
        Map<String, Map<String, Double>> next = new TreeMap<>();
        target.forEach(
                (tenant, wanted) -> next.put(tenant, step(present.getOrDefault(tenant, initial), wanted, maxStep)));
        return next;
    }

    private static Map<String, Double> step(Map<String, Double> present, Map<String, Double> target, double maxStep) {
        // Restored shares may name zones without traffic: such shares fall to 0 step by step.
        Map<String, Double> start = new TreeMap<>(present);
        target.keySet().forEach(zone -> start.putIfAbsent(zone, 0.0));
        double distance = start.keySet().stream()
                .mapToDouble(zone -> Math.abs(target.getOrDefault(zone, 0.0) - start.get(zone)))
                .max()
                .orElse(0);
        double fraction = distance <= maxStep ? 1 : maxStep / distance;
        Map<String, Double> moved = new TreeMap<>();
        start.forEach((zone, share) -> moved.put(zone, share + fraction * (target.getOrDefault(zone, 0.0) - share)));
        return moved;
    }

    /** Returns whether each tenant's shares sum to 1 and differ from those before by one step at most. */
    static boolean isWithinLimit(
            Map<String, Map<String, Double>> before, Map<String, Map<String, Double>> after, double maxStep) {
        return after.entrySet().stream().allMatch(tenant -> {
            Map<String, Double> was = before.get(tenant.getKey());
            Map<String, Double> shares = tenant.getValue();
            double sum = shares.values().stream().mapToDouble(share -> share).sum();
            return Math.abs(sum - 1) < SUM_TOLERANCE && (was == null || isWithinStep(was, shares, maxStep));
        });
    }

    private static boolean isWithinStep(Map<String, Double> before, Map<String, Double> after, double maxStep) {
        return after.entrySet().stream()
                .allMatch(zone -> Math.abs(zone.getValue() - before.getOrDefault(zone.getKey(), 0.0))
                        <= maxStep + STEP_TOLERANCE);
    }
}
