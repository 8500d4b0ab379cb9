package peppergauge.discovery;

import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.net.URIAuthority;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.log.Log;
import peppergauge.request.EndpointUpdate;

/** Reads endpoint updates from discovery's JSON objects; defines the names of their fields and states. Immutable. */
public final class EndpointUpdateReader {

    private static final int MAX_PORT = 65535;

    private final List<String> zones;

    /** @param zones the names of the zones in the settings, by zone index */
    public EndpointUpdateReader(List<String> zones) {
        this.zones = List.copyOf(zones);
    }

    /**
     * Reads an update; malformed endpoints in it are logged and skipped.
     *
     * @throws IllegalArgumentException if the object is not an update
     */
    public EndpointUpdate read(Map<String, Object> object) {
        if (!(object.get("servers") instanceof List<?> servers)) {
            throw new IllegalArgumentException("update has no list 'servers'");
        }
        List<EndpointUpdate.EndpointAddress> endpoints = new ArrayList<>();
        for (Object server : servers) {
            try {
                endpoints.add(readEndpoint(server));
            } catch (IllegalArgumentException malformed) {
                // The other endpoints are still read: one of them may be draining.
                Log.event("endpoint_ignored", "error", malformed.getMessage());
            }
        }
        return new EndpointUpdate(
                (long) numberOrZero(object.get("version")), Boolean.TRUE.equals(object.get("full")), endpoints);
    }

    private EndpointUpdate.EndpointAddress readEndpoint(Object server) {
        if (!(server instanceof Map<?, ?> fields)) {
            throw new IllegalArgumentException("server is not a JSON object: " + server);
        }
        if (!(fields.get("id") instanceof String id)) {
            throw new IllegalArgumentException("server has no id");
        }
        EndpointState state = switch (String.valueOf(fields.get("state"))) {
            case "active" -> EndpointState.READY;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.REMOVED;
            default ->
                throw new IllegalArgumentException(
                        "server " + id + " has state " + fields.get("state") + ", expected active, leaving or left");
        };
        if (!(fields.get("addr") instanceof String) && state != EndpointState.REMOVED) {
            throw new IllegalArgumentException("server " + id + " has no addr");
        }
        if (fields.get("addr") instanceof String address && state != EndpointState.REMOVED && !isAddress(address)) {
            throw new IllegalArgumentException("server " + id + " has addr " + address + ", expected host:port");
        }
        Endpoint endpoint = new Endpoint(
                id,
                zoneIndex(fields.get("zone")),
                (int) numberOrZero(fields.get("cell")),
                state,
                numberOrZero(fields.get("started_ms")),
                kindNumber(fields.get("kind")));
        // A removed server may have no address; the text "null" then stands for it and is never used.
        return new EndpointUpdate.EndpointAddress(endpoint, String.valueOf(fields.get("addr")));
    }

    private static boolean isAddress(String text) {
        try {
            URIAuthority address = URIAuthority.create(text);
            return address.getPort() > 0 && address.getPort() <= MAX_PORT && address.getUserInfo() == null;
        } catch (URISyntaxException malformed) {
            return false;
        }
    }

    /** Returns the index of a zone, -1 if the settings do not contain it. */
    private int zoneIndex(Object zone) {
        return zone instanceof Number number ? number.intValue() : zones.indexOf(String.valueOf(zone));
    }

    /** Returns the number of a server kind. Names with the same hash share their statistics. */
    private static int kindNumber(Object kind) {
        if (kind == null) {
            return Endpoint.NO_KIND;
        }
        return kind instanceof Number number
                ? number.intValue()
                : String.valueOf(kind).hashCode();
    }

    private static double numberOrZero(Object value) {
        return value instanceof Number number ? number.doubleValue() : 0;
    }
}
