package peppergauge.request;

import java.util.List;
import peppergauge.decision.LoadBalancer.Endpoint;

/**
 * An update of the endpoint list.
 *
 * @param version the version of the list, from discovery
 * @param complete whether the update replaces the list; otherwise servers that it does not mention are unchanged
 */
public record EndpointUpdate(long version, boolean complete, List<EndpointAddress> endpoints) {

    /** A backend server's state and its address. */
    public record EndpointAddress(Endpoint endpoint, String address) {}

    public EndpointUpdate {
        endpoints = List.copyOf(endpoints);
    }
}
