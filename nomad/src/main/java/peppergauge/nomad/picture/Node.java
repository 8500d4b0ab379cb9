package peppergauge.nomad.picture;

import java.util.HashMap;
import java.util.Map;

/**
 * What a node says of the servers on it ({@code GET /v1/node/:id}, or the payload of a Node event).
 *
 * @param index at which it changed last
 * @param meta its free keys and values
 */
public record Node(String id, long index, Signs signs, Map<String, String> meta) {

    /** @throws IllegalArgumentException if it has no id */
    public static Node of(Object json) {
        if (!(json instanceof Map<?, ?> object) || Fields.text(object, "ID").isEmpty()) {
            throw new IllegalArgumentException("a node has no ID");
        }
        Map<String, String> meta = new HashMap<>();
        Fields.object(object, "Meta").forEach((key, value) -> meta.put(String.valueOf(key), String.valueOf(value)));
        String status = Fields.text(object, "Status");
        String leaving = Fields.flag(object, "Drain") || object.get("DrainStrategy") instanceof Map<?, ?>
                ? "its node drains"
                : "ineligible".equals(object.get("SchedulingEligibility")) ? "its node is not eligible" : "";
        String ill = status.equals("down") || status.equals("disconnected") ? "its node is " + status : "";
        return new Node(
                Fields.text(object, "ID"),
                Fields.number(object, "ModifyIndex"),
                new Signs(leaving, ill),
                Map.copyOf(meta));
    }
}
