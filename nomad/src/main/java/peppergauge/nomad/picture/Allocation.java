package peppergauge.nomad.picture;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Map;

/**
 * What an allocation says of its servers ({@code GET /v1/allocation/:id}, or the payload of an Allocation event).
 *
 * @param index at which it changed last
 * @param startedMs when its task that started last did, Unix time in ms; 0 if that is not told
 */
public record Allocation(String id, String node, long index, Signs signs, double startedMs) {

    /** @throws IllegalArgumentException if it has no id */
    public static Allocation of(Object json) {
        if (!(json instanceof Map<?, ?> object) || Fields.text(object, "ID").isEmpty()) {
            throw new IllegalArgumentException("an allocation has no ID");
        }
        return new Allocation(
                Fields.text(object, "ID"),
                Fields.text(object, "NodeID"),
                Fields.number(object, "ModifyIndex"),
                new Signs(leaving(object), ill(object)),
                started(Fields.object(object, "TaskStates")));
    }

    private static String leaving(Map<?, ?> object) {
        String desired = Fields.text(object, "DesiredStatus");
        String client = Fields.text(object, "ClientStatus");
        Map<?, ?> transition = Fields.object(object, "DesiredTransition");
        if (!desired.isEmpty() && !desired.equals("run")) {
            return "its allocation is to " + desired;
        }
        if (Fields.flag(transition, "Migrate")) {
            return "its allocation is to migrate";
        }
        if (Fields.flag(transition, "Reschedule") || Fields.flag(transition, "ForceReschedule")) {
            return "its allocation is to be rescheduled";
        }
        return switch (client) {
            case "complete", "failed", "lost" -> "its allocation is " + client;
            default -> "";
        };
    }

    /** A task that is started again in its place makes a cold server of it, and nothing else tells so. */
    private static double started(Map<?, ?> tasks) {
        double lastMs = 0;
        for (Object task : tasks.values()) {
            if (task instanceof Map<?, ?> state && state.get("StartedAt") instanceof String at) {
                try {
                    lastMs = Math.max(lastMs, Instant.parse(at).toEpochMilli());
                } catch (DateTimeParseException | ArithmeticException unusable) {
                    // Then its start is as little known as that of a task that has not started.
                    continue;
                }
            }
        }
        return lastMs;
    }

    private static String ill(Map<?, ?> object) {
        if (Fields.text(object, "ClientStatus").equals("unknown")) {
            return "its allocation's client is out of reach";
        }
        return Boolean.FALSE.equals(Fields.object(object, "DeploymentStatus").get("Healthy"))
                ? "its deployment calls it unhealthy"
                : "";
    }
}
