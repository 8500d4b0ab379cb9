package peppergauge.lab.emulator;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import peppergauge.request.Backend;

/** Idle connections of one sidecar, by server and address; the most recently used connection is taken first. */
final class Connections {

    private final World world;
    private final SidecarBackend home;
    private final Map<Backend.Server, ArrayDeque<Connection>> idle = new LinkedHashMap<>();

    Connections(World world, SidecarBackend home) {
        this.world = world;
        this.home = home;
    }

    /** Removes and returns an idle connection; null if there is none. */
    Connection takeIdle(Backend.Server to) {
        ArrayDeque<Connection> kept = idle.get(to);
        return kept == null ? null : kept.pollLast();
    }

    void idle(Connection connection) {
        connection.idleSince = world.time.now();
        BackendServer server = connection.server();
        idle.computeIfAbsent(new Backend.Server(server.id(), server.address()), key -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** Closes the connections that exceed the idle timeout. */
    void sweep() {
        long oldest = world.time.now() - VirtualTime.ticks(world.figures.connectionIdleMs);
        for (Iterator<ArrayDeque<Connection>> all = idle.values().iterator(); all.hasNext(); ) {
            ArrayDeque<Connection> kept = all.next();
            while (!kept.isEmpty() && kept.peekFirst().idleSince < oldest) {
                kept.pollFirst().close();
            }
            if (kept.isEmpty()) {
                all.remove();
            }
        }
    }

    void forget(Backend.Server server) {
        ArrayDeque<Connection> kept = idle.remove(server);
        if (kept != null) {
            kept.forEach(Connection::close);
        }
    }

    void closeAll() {
        idle.values().forEach(kept -> kept.forEach(Connection::close));
        idle.clear();
    }

    /**
     * Opens a connection. The callback receives it, or null if refused; it is not called if the server is unresponsive.
     */
    void open(Backend.Server to, Consumer<Connection> done) {
        BackendServer server = world.fleet.at(to.address());
        long trips = world.scenario.network().handshakeTrips();
        world.links.carry(home.zone(), server.zone(), home.luck(), () -> {
            if (server.silent()) {
                return;
            }
            boolean taken = server.connect();
            Connection fresh = taken ? new Connection(server) : null;
            if (taken) {
                world.meters.connected();
            }
            double moreMs = taken ? (trips - 1) * 2 * world.links.wayMs(home.zone(), server.zone(), home.luck()) : 0;
            world.time.after(
                    moreMs, () -> world.links.carry(server.zone(), home.zone(), home.luck(), () -> done.accept(fresh)));
        });
    }
}
