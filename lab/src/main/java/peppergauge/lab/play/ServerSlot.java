package peppergauge.lab.play;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import peppergauge.lab.scenario.ServerGroup;

/**
 * A position in the fleet that holds one server at a time. It has one address for each sidecar, since the network's
 * delays and cuts differ between sidecars.
 */
final class ServerSlot {

    private final RunContext context;
    private final ServerGroup kind;
    private final String name;
    private final int zone;
    private final int cell;
    private final List<ServerEndpoint> endpoints = new ArrayList<>();
    private ServerInstance server;

    ServerSlot(RunContext context, ServerGroup kind, String name, int zone, int cell) throws IOException {
        this.context = context;
        this.kind = kind;
        this.name = name;
        this.zone = zone;
        this.cell = cell;
        for (SidecarInstance sidecar : context.sidecars) {
            endpoints.add(new ServerEndpoint(context, this, sidecar));
        }
        server = new ServerInstance(context, this, name, context.meters.addServer(name, kind.name(), zone));
        context.meters.serverStarted(server);
    }

    /** Replaces the server by a new, cold one at the same addresses. */
    void replace(int generation) {
        String id = name + '.' + generation;
        server = new ServerInstance(context, this, id, context.meters.addServer(id, kind.name(), zone));
        context.meters.serverStarted(server);
        server.start();
    }

    /** Adapts all listeners to the state of the server and of the network. */
    void sync() {
        endpoints.forEach(ServerEndpoint::sync);
    }

    ServerInstance server() {
        return server;
    }

    ServerGroup kind() {
        return kind;
    }

    String name() {
        return name;
    }

    int zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    String address(int sidecarIndex) {
        return endpoints.get(sidecarIndex).address();
    }

    /** Returns the number of open connections from all sidecars. */
    int connections() {
        return endpoints.stream().mapToInt(ServerEndpoint::connections).sum();
    }
}
