package peppergauge.nomad.model;

import java.util.HashMap;
import java.util.Map;

/**
 * A node ({@code GET /v1/node/:id}, or the payload of a Node event).
 *
 * @param index index of its last change
 * @param meta its metadata
 */
public record Node(String id, long index, Condition condition, Map<String, String> meta) {

    /** Drain reason of a node that is not eligible for scheduling. */
    static final String INELIGIBLE_REASON = "its node is not eligible";

    /**
     * Reads a node from parsed JSON.
     *
     * @throws IllegalArgumentException if it is not an object with an ID
     */
    public static Node of(Object json) {
        if (!(json instanceof Map<?, ?> object) || JsonFields.text(object, "ID").isEmpty()) {
            throw new IllegalArgumentException("node is not an object with an ID");
        }
        Map<String, String> meta = new HashMap<>();
        JsonFields.object(object, "Meta").forEach((key, value) -> meta.put(String.valueOf(key), String.valueOf(value)));
        String status = JsonFields.text(object, "Status");
        String drainReason = JsonFields.flag(object, "Drain") || object.get("DrainStrategy") instanceof Map<?, ?>
                ? "its node drains"
                : "ineligible".equals(object.get("SchedulingEligibility")) ? INELIGIBLE_REASON : "";
        String unhealthyReason = status.equals("down") || status.equals("disconnected") ? "its node is " + status : "";
        return new Node(
                JsonFields.text(object, "ID"),
                JsonFields.number(object, "ModifyIndex"),
                new Condition(drainReason, unhealthyReason),
                Map.copyOf(meta));
    }
}
