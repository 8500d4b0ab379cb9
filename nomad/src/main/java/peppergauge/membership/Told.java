package peppergauge.membership;

import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.request.EndpointUpdate;

/**
 * One backend server in a source's words.
 *
 * @param entry its state counts for nothing here
 * @param address host:port; the same text for the same place, for servers are told apart by it
 * @param standing where it stands
 * @param sign what the standing was read from, in a few words; may be empty
 */
public record Told(Endpoint entry, String address, Standing standing, String sign) {

    /** A row of the platform's discovery. */
    public static Told of(EndpointUpdate.EndpointAddress row) {
        return new Told(
                row.endpoint(), row.address(), Standing.of(row.endpoint().state()), "");
    }

    String id() {
        return entry.server();
    }
}
