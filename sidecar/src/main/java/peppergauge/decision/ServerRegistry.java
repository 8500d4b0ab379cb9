package peppergauge.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;

/**
 * The servers of the endpoint list, and those that were removed from it but still have open attempts. Decides to which
 * servers the endpoint list permits attempts.
 */
final class ServerRegistry {

    /** Multiplier that spreads the bits of a server's hash code: 2^64 divided by the golden ratio. */
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    private final boolean removalForbidsSends;
    private final long instanceAffinity;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Integer, MachineKindStats> kinds = new HashMap<>();
    private List<Server> byAffinity = List.of();

    /**
     * Creates an empty registry.
     *
     * @param removalForbidsSends whether servers that were removed from the list get no attempts
     * @param instanceAffinity random number by which the servers are ordered differently at each instance
     */
    ServerRegistry(boolean removalForbidsSends, long instanceAffinity) {
        this.removalForbidsSends = removalForbidsSends;
        this.instanceAffinity = instanceAffinity;
    }

    /** All servers, in the order of this instance's affinity. */
    List<Server> byAffinity() {
        return byAffinity;
    }

    int size() {
        return servers.size();
    }

    /** The server with the given id; null if there is none. */
    Server get(String id) {
        return servers.get(id);
    }

    /** Applies an endpoint update. */
    void update(EndpointsUpdated update) {
        if (update.complete()) {
            for (Server server : servers.values()) {
                server.isListed = false;
            }
        }
        for (Endpoint endpoint : update.endpoints()) {
            update(endpoint);
        }
        for (Server server : servers.values()) {
            server.isUsable = !server.isDraining && (server.isListed || !removalForbidsSends);
        }
        servers.values().removeIf(ServerRegistry::isObsolete);
        byAffinity = new ArrayList<>(servers.values());
        byAffinity.sort(Comparator.comparingLong(server -> server.affinity));
    }

    private void update(Endpoint endpoint) {
        boolean isRemoved = endpoint.state() == EndpointState.REMOVED;
        Server server = servers.get(endpoint.server());
        if (server == null && isRemoved) {
            return;
        }
        if (server == null) {
            server = add(endpoint);
        } else if (endpoint.startedMs() > 0 && endpoint.startedMs() != server.startedMs) {
            server.restart(endpoint.startedMs());
        }
        server.isListed = !isRemoved;
        // A draining server that is removed stays draining until it is listed again.
        server.isDraining = endpoint.state() == EndpointState.DRAINING || (server.isDraining && isRemoved);
    }

    private Server add(Endpoint endpoint) {
        Server server = new Server(endpoint.server(), endpoint.zone(), endpoint.cell());
        servers.put(endpoint.server(), server);
        server.kindStats = kinds.computeIfAbsent(endpoint.kind(), kind -> new MachineKindStats());
        server.affinity = HashMixer.mix(instanceAffinity ^ endpoint.server().hashCode() * GOLDEN_RATIO);
        server.startedMs = endpoint.startedMs() > 0 ? endpoint.startedMs() : Double.NEGATIVE_INFINITY;
        return server;
    }

    private static boolean isObsolete(Server server) {
        return !server.isListed
                && server.openAttempts.isEmpty()
                && (!server.isUsable || OutlierDetection.isAtMaxEjectionTime(server));
    }
}
