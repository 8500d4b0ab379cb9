package peppergauge.membership;

import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.request.EndpointUpdate;

/**
 * A server as one source reports it.
 *
 * @param endpoint the endpoint; its state is not used here
 * @param address host:port; each address must have one spelling only, because servers are identified by it
 * @param status reported status
 * @param statusReason what the status was derived from, in a few words; may be empty
 */
public record ReportedEndpoint(Endpoint endpoint, String address, ReportedStatus status, String statusReason) {

    /** Converts an endpoint of the platform's discovery. */
    public static ReportedEndpoint of(EndpointUpdate.EndpointAddress listed) {
        return new ReportedEndpoint(
                listed.endpoint(),
                listed.address(),
                ReportedStatus.of(listed.endpoint().state()),
                "");
    }

    String server() {
        return endpoint.server();
    }

    /** Returns the reason of the status; its label if the source gave none. */
    String describeStatus(ReportedStatus effective) {
        return statusReason.isEmpty() ? effective.label() : statusReason;
    }

    /** Returns this endpoint under another server id. */
    ReportedEndpoint withServer(String id) {
        return new ReportedEndpoint(with(endpoint, id, endpoint.state()), address, status, statusReason);
    }

    static Endpoint with(Endpoint endpoint, EndpointState state) {
        return with(endpoint, endpoint.server(), state);
    }

    private static Endpoint with(Endpoint endpoint, String id, EndpointState state) {
        return new Endpoint(id, endpoint.zone(), endpoint.cell(), state, endpoint.startedMs(), endpoint.kind());
    }
}
