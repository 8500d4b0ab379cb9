package peppergauge.nomad.model;

import java.util.List;
import java.util.Map;

/**
 * A registration of a service: an entry of {@code GET /v1/service/:name} (Nomad API, Services), or the payload of a
 * Service event.
 *
 * @param id id of the registration; an allocation has a registration for each of its addresses
 * @param address host:port
 * @param index index of its last change
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

    private static final int MAX_PORT = 65_535;

    /**
     * Reads a registration from parsed JSON.
     *
     * @throws IllegalArgumentException if it has no ID or no valid address
     */
    public static Registration of(Object json) {
        if (!(json instanceof Map<?, ?> object)) {
            throw new IllegalArgumentException("registration is not an object");
        }
        String id = JsonFields.text(object, "ID");
        String host = JsonFields.text(object, "Address");
        long port = JsonFields.number(object, "Port");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("registration has no ID");
        }
        if (host.isEmpty() || !host.matches("[0-9A-Za-z.:_-]+") || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("registration " + id + ": expected a host and a port from 1 to "
                    + MAX_PORT + ", got address " + host + ", port " + port);
        }
        return new Registration(
                id,
                JsonFields.text(object, "AllocID"),
                JsonFields.text(object, "NodeID"),
                JsonFields.text(object, "JobID"),
                JsonFields.text(object, "Datacenter"),
                JsonFields.texts(object, "Tags"),
                (host.contains(":") ? "[" + host + "]" : host) + ":" + port,
                JsonFields.number(object, "ModifyIndex"));
    }
}
