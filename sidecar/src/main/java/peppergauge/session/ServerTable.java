package peppergauge.session;

import java.util.List;
import peppergauge.decision.Balancer.ServerEntry;

/** News of the server table; a {@code whole} table replaces the one before. */
public record ServerTable(long version, boolean whole, List<Row> rows) {

    /** A backend server and where this sidecar reaches it. */
    public record Row(ServerEntry entry, String address) {}

    public ServerTable {
        rows = List.copyOf(rows);
    }
}
