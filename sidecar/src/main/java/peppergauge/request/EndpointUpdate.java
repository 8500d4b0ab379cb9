package peppergauge.request;

import java.util.List;
import peppergauge.decision.LoadBalancer.Endpoint;

/**
 * An update of the endpoint list.
 *
 * @param version of the list, from discovery
 * @param complete whether it replaces the whole list; else servers that it does not mention stay as they are
 */
public record EndpointUpdate(long version, boolean complete, List<EndpointAddress> endpoints) {

    /** A backend server's state and its address. */
    public record EndpointAddress(Endpoint endpoint, String address) {}

    public EndpointUpdate {
        endpoints = List.copyOf(endpoints);
    }
}
