package peppergauge.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;

/** The backend servers of the last endpoint updates and their addresses. Event-loop thread only. */
final class EndpointList {

    private final Map<String, Backend.Server> servers = new HashMap<>();
    private final Backend backend;

    private final ServerStartTimes startTimes;

    /** @param wallStepMs as {@link Clock#wallStepMs} */
    EndpointList(Backend backend, DoubleSupplier wallStepMs) {
        this.backend = backend;
        this.startTimes = new ServerStartTimes(wallStepMs);
    }

    /**
     * The changes made by an update.
     *
     * @param endpoints the endpoints of the update, in its order
     * @param leaving the ids of the servers that are draining or removed
     * @param previous the servers before the update, by their ids
     */
    record Change(List<Endpoint> endpoints, Set<String> leaving, Map<String, Backend.Server> previous) {}

    /** The server with this id, null if the list has none. */
    Backend.Server find(String id) {
        return servers.get(id);
    }

    /**
     * Applies an update and notifies the backend of each listed server. Does not notify it of removed servers; that is
     * left to {@link #releaseIfRemoved}.
     */
    Change apply(EndpointUpdate update) {
        Map<String, Backend.Server> previous = new HashMap<>(servers);
        List<Endpoint> endpoints = new ArrayList<>();
        Set<String> leaving = new LinkedHashSet<>();
        if (update.complete()) {
            leaving.addAll(servers.keySet());
            servers.clear();
        }
        for (EndpointUpdate.EndpointAddress listed : update.endpoints()) {
            Endpoint endpoint = startTimes.convert(listed.endpoint());
            endpoints.add(endpoint);
            if (endpoint.state() == EndpointState.REMOVED) {
                servers.remove(endpoint.server());
            } else {
                Backend.Server server = new Backend.Server(endpoint.server(), listed.address());
                servers.put(endpoint.server(), server);
                backend.onServerListed(server);
            }
            if (endpoint.state() == EndpointState.READY) {
                leaving.remove(endpoint.server());
            } else {
                leaving.add(endpoint.server());
            }
        }
        for (String server : previous.keySet()) {
            if (!servers.containsKey(server)) {
                startTimes.remove(server);
            }
        }
        return new Change(endpoints, leaving, previous);
    }

    /** Whether the list has this server at another address, or not at all. */
    boolean isReplaced(Backend.Server server) {
        return !server.equals(servers.get(server.id()));
    }

    /** Notifies the backend that a server was removed, unless the same id is still listed at the same address. */
    void releaseIfRemoved(Backend.Server server) {
        if (isReplaced(server)) {
            backend.onServerRemoved(server);
        }
    }
}
