package peppergauge.nomad.picture;

import java.util.Map;

/**
 * What an allocation says of its servers ({@code GET /v1/allocation/:id}, or the payload of an Allocation event).
 *
 * @param index at which it changed last
 */
public record Allocation(String id, String node, long index, Signs signs) {

    /** @throws IllegalArgumentException if it has no id */
    public static Allocation of(Object json) {
        if (!(json instanceof Map<?, ?> object) || Fields.text(object, "ID").isEmpty()) {
            throw new IllegalArgumentException("an allocation has no ID");
        }
        return new Allocation(Fields.text(object, "ID"), Fields.text(object, "NodeID"),
                Fields.number(object, "ModifyIndex"), new Signs(leaving(object), ill(object)));
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

    private static String ill(Map<?, ?> object) {
        if (Fields.text(object, "ClientStatus").equals("unknown")) {
            return "its allocation's client is out of reach";
        }
        return Boolean.FALSE.equals(Fields.object(object, "DeploymentStatus").get("Healthy"))
                ? "its deployment calls it unhealthy" : "";
    }
}
