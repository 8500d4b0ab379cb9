package peppergauge.membership;

import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.session.ServerTable;

/**
 * One backend server in a source's words.
 *
 * @param entry its state counts for nothing here
 * @param address host:port; the same text for the same place, for servers are told apart by it
 * @param standing where it stands
 * @param sign what the standing was read from, in a few words; may be empty
 */
public record Told(ServerEntry entry, String address, Standing standing, String sign) {

    /** A row of the platform's discovery. */
    public static Told of(ServerTable.Row row) {
        return new Told(row.entry(), row.address(), Standing.of(row.entry().state()), "");
    }

    String id() {
        return entry.server();
    }
}
