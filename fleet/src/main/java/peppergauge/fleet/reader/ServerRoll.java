package peppergauge.fleet.reader;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.fleet.wire.DaemonReport;

/** The server table as this sidecar was told it, for reports. On the loop, without locks. */
final class ServerRoll {

    private final List<String> zones;
    private final TreeMap<String, Endpoint> servers = new TreeMap<>();

    ServerRoll(List<String> zones) {
        this.zones = zones;
    }

    void listed(boolean whole, List<Endpoint> entries) {
        if (whole) {
            servers.clear();
        }
        entries.forEach(entry -> {
            if (entry.state() == EndpointState.READY) {
                servers.put(entry.server(), entry);
            } else {
                servers.remove(entry.server());
            }
        });
    }

    int kind(String server) {
        Endpoint entry = servers.get(server);
        return entry == null ? Endpoint.NO_KIND : entry.kind();
    }

    /** Those that take sessions, the first by name of too many. */
    List<DaemonReport.Server> copy() {
        List<DaemonReport.Server> copy = new ArrayList<>();
        for (Endpoint entry : servers.values()) {
            if (copy.size() == DaemonReport.MOST_SERVERS) {
                break;
            }
            copy.add(new DaemonReport.Server(entry.server(), Witness.name(zones, entry.zone()), entry.kind()));
        }
        return copy;
    }
}
