package peppergauge.nomad.model;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Map;

/**
 * An allocation ({@code GET /v1/allocation/:id}, or the payload of an Allocation event).
 *
 * @param node id of its node
 * @param index index of its last change
 * @param startedMs Unix time of the latest start of one of its tasks, ms; 0 if not known
 */
public record Allocation(String id, String node, long index, Condition condition, double startedMs) {

    /**
     * Reads an allocation from parsed JSON.
     *
     * @throws IllegalArgumentException if it is not an object with an ID
     */
    public static Allocation of(Object json) {
        if (!(json instanceof Map<?, ?> object) || JsonFields.text(object, "ID").isEmpty()) {
            throw new IllegalArgumentException("allocation is not an object with an ID");
        }
        return new Allocation(
                JsonFields.text(object, "ID"),
                JsonFields.text(object, "NodeID"),
                JsonFields.number(object, "ModifyIndex"),
                new Condition(drainReason(object), unhealthyReason(object)),
                lastStartMs(JsonFields.object(object, "TaskStates")));
    }

    private static String drainReason(Map<?, ?> object) {
        String desired = JsonFields.text(object, "DesiredStatus");
        String client = JsonFields.text(object, "ClientStatus");
        Map<?, ?> transition = JsonFields.object(object, "DesiredTransition");
        if (!desired.isEmpty() && !desired.equals("run")) {
            return "its allocation is to " + desired;
        }
        if (JsonFields.flag(transition, "Migrate")) {
            return "its allocation is to migrate";
        }
        if (JsonFields.flag(transition, "Reschedule") || JsonFields.flag(transition, "ForceReschedule")) {
            return "its allocation is to be rescheduled";
        }
        return switch (client) {
            case "complete", "failed", "lost" -> "its allocation is " + client;
            default -> "";
        };
    }

    /** Returns the latest start of a task, because a restarted task needs a slow start again. */
    private static double lastStartMs(Map<?, ?> tasks) {
        double lastMs = 0;
        for (Object task : tasks.values()) {
            if (task instanceof Map<?, ?> state && state.get("StartedAt") instanceof String startedAt) {
                try {
                    lastMs = Math.max(lastMs, Instant.parse(startedAt).toEpochMilli());
                } catch (DateTimeParseException | ArithmeticException invalid) {
                    // The start is not known, as for a task that has not started.
                    continue;
                }
            }
        }
        return lastMs;
    }

    private static String unhealthyReason(Map<?, ?> object) {
        if (JsonFields.text(object, "ClientStatus").equals("unknown")) {
            return "its allocation's client is out of reach";
        }
        return Boolean.FALSE.equals(
                        JsonFields.object(object, "DeploymentStatus").get("Healthy"))
                ? "its deployment calls it unhealthy"
                : "";
    }
}
