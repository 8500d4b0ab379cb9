package peppergauge.nomad.model;

import java.util.HashMap;
import java.util.Map;

/**
 * A node ({@code GET /v1/node/:id}, or the payload of a Node event).
 *
 * @param index of its last change
 * @param meta its metadata
 */
public record Node(String id, long index, Condition condition, Map<String, String> meta) {

    /** @throws IllegalArgumentException if it has no id */
    public static Node of(Object json) {
        if (!(json instanceof Map<?, ?> object) || JsonFields.text(object, "ID").isEmpty()) {
            throw new IllegalArgumentException("a node has no ID");
        }
        Map<String, String> meta = new HashMap<>();
        JsonFields.object(object, "Meta").forEach((key, value) -> meta.put(String.valueOf(key), String.valueOf(value)));
        String status = JsonFields.text(object, "Status");
        String leaving = JsonFields.flag(object, "Drain") || object.get("DrainStrategy") instanceof Map<?, ?>
                ? "its node drains"
                : "ineligible".equals(object.get("SchedulingEligibility")) ? "its node is not eligible" : "";
        String ill = status.equals("down") || status.equals("disconnected") ? "its node is " + status : "";
        return new Node(
                JsonFields.text(object, "ID"),
                JsonFields.number(object, "ModifyIndex"),
                new Condition(leaving, ill),
                Map.copyOf(meta));
    }
}
