package peppergauge.nomad.picture;

import java.util.List;
import java.util.Map;

/**
 * One entry of {@code GET /v1/service/:name} (Nomad API, Services), or the payload of a Service event.
 *
 * @param id of the registration; an allocation has one for each of its addresses
 * @param address host:port
 * @param index at which it changed last
 */
public record Registration(
        String id,
        String allocation,
        String node,
        String job,
        String datacenter,
        List<String> tags,
        String address,
        long index) {

    private static final int MOST_PORT = 65_535;

    /** @throws IllegalArgumentException if it lacks an id or a usable address; says which */
    public static Registration of(Object json) {
        if (!(json instanceof Map<?, ?> object)) {
            throw new IllegalArgumentException("a registration is not an object");
        }
        String id = Fields.text(object, "ID");
        String host = Fields.text(object, "Address");
        long port = Fields.number(object, "Port");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("a registration has no ID");
        }
        if (host.isEmpty() || !host.matches("[0-9A-Za-z.:_-]+") || port < 1 || port > MOST_PORT) {
            throw new IllegalArgumentException("registration " + id + " has address " + host + ", port " + port);
        }
        return new Registration(
                id,
                Fields.text(object, "AllocID"),
                Fields.text(object, "NodeID"),
                Fields.text(object, "JobID"),
                Fields.text(object, "Datacenter"),
                Fields.texts(object, "Tags"),
                (host.contains(":") ? "[" + host + "]" : host) + ":" + port,
                Fields.number(object, "ModifyIndex"));
    }
}
