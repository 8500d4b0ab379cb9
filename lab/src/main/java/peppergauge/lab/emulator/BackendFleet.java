package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.lab.scenario.ServerGroup;

/** All backend servers of a run, and the current server at each address. */
final class BackendFleet {

    /** Number of servers that share a cell. */
    private static final int SERVERS_PER_CELL = 6;

    private final EmulationContext context;
    private final List<BackendServer> servers = new ArrayList<>();
    private final Map<String, BackendServer> byAddress = new LinkedHashMap<>();

    BackendFleet(EmulationContext context) {
        this.context = context;
    }

    /** Creates the initial servers, warm and distributed over the zones in turn. */
    void open() {
        int zones = context.scenario.network().zones().size();
        for (ServerGroup kind : context.scenario.servers()) {
            for (int i = 1; i <= kind.count(); i++) {
                int index = servers.size();
                add(new BackendServer(
                        context,
                        index,
                        kind.name() + '-' + i,
                        "server-" + index + ":80",
                        kind,
                        index % zones,
                        index / SERVERS_PER_CELL));
            }
        }
    }

    /** Starts a cold server at the address of one that was removed. */
    BackendServer replace(BackendServer gone, int generation) {
        BackendServer fresh = new BackendServer(
                context,
                servers.size(),
                gone.id().replaceAll("\\.\\d+$", "") + '.' + generation,
                gone.address(),
                gone.serverGroup(),
                gone.zone(),
                gone.cell());
        add(fresh);
        fresh.start();
        return fresh;
    }

    private void add(BackendServer server) {
        servers.add(server);
        byAddress.put(server.address(), server);
    }

    BackendServer server(int index) {
        return servers.get(index);
    }

    List<BackendServer> all() {
        return servers;
    }

    /** The current server at each address, whether it is up or not. */
    List<BackendServer> present() {
        return List.copyOf(byAddress.values());
    }

    BackendServer at(String address) {
        return byAddress.get(address);
    }
}
