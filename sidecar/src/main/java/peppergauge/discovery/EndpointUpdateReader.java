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

/** Reads discovery's objects; an {@link IllegalArgumentException} says why one is none. */
public final class EndpointUpdateReader {

    private final List<String> zones;

    public EndpointUpdateReader(List<String> zones) {
        this.zones = List.copyOf(zones);
    }

    public EndpointUpdate read(Map<String, Object> object) {
        if (!(object.get("servers") instanceof List<?> servers)) {
            throw new IllegalArgumentException("no list of servers");
        }
        List<EndpointUpdate.EndpointAddress> rows = new ArrayList<>();
        for (Object server : servers) {
            try {
                rows.add(row(server));
            } catch (IllegalArgumentException malformed) {
                // One bad row must not keep the others' news back: a server among them may be leaving.
                Log.line("server table", "a row passed over: " + malformed.getMessage());
            }
        }
        return new EndpointUpdate((long) number(object.get("version")), Boolean.TRUE.equals(object.get("full")), rows);
    }

    private EndpointUpdate.EndpointAddress row(Object server) {
        if (!(server instanceof Map<?, ?> fields)) {
            throw new IllegalArgumentException("it is not an object");
        }
        if (!(fields.get("id") instanceof String id)) {
            throw new IllegalArgumentException("it has no id");
        }
        EndpointState state = switch (String.valueOf(fields.get("state"))) {
            case "active" -> EndpointState.READY;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException("server " + id + " has state " + fields.get("state"));
        };
        if (!(fields.get("addr") instanceof String) && state != EndpointState.REMOVED) {
            throw new IllegalArgumentException("server " + id + " has no addr");
        }
        if (fields.get("addr") instanceof String address && state != EndpointState.REMOVED && !isAddress(address)) {
            throw new IllegalArgumentException("server " + id + " has addr " + address);
        }
        Endpoint entry = new Endpoint(
                id,
                zone(fields.get("zone")),
                (int) number(fields.get("cell")),
                state,
                number(fields.get("started_ms")),
                kind(fields.get("kind")));
        return new EndpointUpdate.EndpointAddress(entry, String.valueOf(fields.get("addr")));
    }

    private static boolean isAddress(String text) {
        try {
            URIAuthority address = URIAuthority.create(text);
            return address.getPort() > 0 && address.getPort() <= 65535 && address.getUserInfo() == null;
        } catch (URISyntaxException malformed) {
            return false;
        }
    }

    /** A zone that the settings do not name is like no other. */
    private int zone(Object zone) {
        return zone instanceof Number number ? number.intValue() : zones.indexOf(String.valueOf(zone));
    }

    /** Kinds are only ever compared; two names that share a number share what is learned of them, no more. */
    private static int kind(Object kind) {
        if (kind == null) {
            return Endpoint.NO_KIND;
        }
        return kind instanceof Number number
                ? number.intValue()
                : String.valueOf(kind).hashCode();
    }

    private static double number(Object value) {
        return value instanceof Number number ? number.doubleValue() : 0;
    }
}
