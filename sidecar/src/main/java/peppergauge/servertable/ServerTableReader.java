package peppergauge.servertable;

import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.net.URIAuthority;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.log.Log;
import peppergauge.session.ServerTable;

/** Reads discovery's objects; an {@link IllegalArgumentException} says why one is none. */
public final class ServerTableReader {

    private final List<String> zones;

    public ServerTableReader(List<String> zones) {
        this.zones = List.copyOf(zones);
    }

    public ServerTable read(Map<String, Object> object) {
        if (!(object.get("servers") instanceof List<?> servers)) {
            throw new IllegalArgumentException("no list of servers");
        }
        List<ServerTable.Row> rows = new ArrayList<>();
        for (Object server : servers) {
            try {
                rows.add(row(server));
            } catch (IllegalArgumentException malformed) {
                // One bad row must not keep the others' news back: a server among them may be leaving.
                Log.line("server table", "a row passed over: " + malformed.getMessage());
            }
        }
        return new ServerTable((long) number(object.get("version")), Boolean.TRUE.equals(object.get("full")), rows);
    }

    private ServerTable.Row row(Object server) {
        if (!(server instanceof Map<?, ?> fields)) {
            throw new IllegalArgumentException("it is not an object");
        }
        if (!(fields.get("id") instanceof String id)) {
            throw new IllegalArgumentException("it has no id");
        }
        ServerState state = switch (String.valueOf(fields.get("state"))) {
            case "active" -> ServerState.READY;
            case "leaving" -> ServerState.DRAINING;
            case "left" -> ServerState.GONE;
            default -> throw new IllegalArgumentException("server " + id + " has state " + fields.get("state"));
        };
        if (!(fields.get("addr") instanceof String) && state != ServerState.GONE) {
            throw new IllegalArgumentException("server " + id + " has no addr");
        }
        if (fields.get("addr") instanceof String address && state != ServerState.GONE && !isAddress(address)) {
            throw new IllegalArgumentException("server " + id + " has addr " + address);
        }
        ServerEntry entry = new ServerEntry(
                id,
                zone(fields.get("zone")),
                (int) number(fields.get("cell")),
                state,
                number(fields.get("started_ms")),
                kind(fields.get("kind")));
        return new ServerTable.Row(entry, String.valueOf(fields.get("addr")));
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
            return ServerEntry.NO_KIND;
        }
        return kind instanceof Number number
                ? number.intValue()
                : String.valueOf(kind).hashCode();
    }

    private static double number(Object value) {
        return value instanceof Number number ? number.doubleValue() : 0;
    }
}
