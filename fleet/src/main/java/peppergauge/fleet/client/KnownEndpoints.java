package peppergauge.fleet.client;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.fleet.wire.DaemonReport;

/** The ready servers of the endpoint list, for reports. Not thread-safe; runs on the event loop. */
final class KnownEndpoints {

    private final List<String> zones;
    private final TreeMap<String, Endpoint> servers = new TreeMap<>();

    KnownEndpoints(List<String> zones) {
        this.zones = zones;
    }

    void onEndpointUpdate(boolean complete, List<Endpoint> endpoints) {
        if (complete) {
            servers.clear();
        }
        endpoints.forEach(endpoint -> {
            if (endpoint.state() == EndpointState.READY) {
                servers.put(endpoint.server(), endpoint);
            } else {
                servers.remove(endpoint.server());
            }
        });
    }

    int kindOf(String server) {
        Endpoint endpoint = servers.get(server);
        return endpoint == null ? Endpoint.NO_KIND : endpoint.kind();
    }

    /** Returns the ready servers; if there are too many for a report, the first ones by name. */
    List<DaemonReport.Server> copy() {
        List<DaemonReport.Server> copy = new ArrayList<>();
        for (Endpoint endpoint : servers.values()) {
            if (copy.size() == DaemonReport.MAX_SERVERS) {
                break;
            }
            copy.add(new DaemonReport.Server(
                    endpoint.server(), TrafficCounter.nameAt(zones, endpoint.zone()), endpoint.kind()));
        }
        return copy;
    }
}
