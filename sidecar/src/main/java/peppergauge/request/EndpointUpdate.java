package peppergauge.request;

import java.util.List;
import peppergauge.decision.LoadBalancer.Endpoint;

/** News of the server table; a {@code whole} table replaces the one before. */
public record EndpointUpdate(long version, boolean complete, List<EndpointAddress> endpoints) {

    /** A backend server and where this sidecar reaches it. */
    public record EndpointAddress(Endpoint endpoint, String address) {}

    public EndpointUpdate {
        endpoints = List.copyOf(endpoints);
    }
}
