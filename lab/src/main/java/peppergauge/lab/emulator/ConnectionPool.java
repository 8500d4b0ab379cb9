package peppergauge.lab.emulator;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import peppergauge.request.Backend;

/** Idle connections of one sidecar, by server and address; the most recently used connection is taken first. */
final class ConnectionPool {

    private final EmulationContext context;
    private final SidecarBackend backend;
    private final Map<Backend.Server, ArrayDeque<BackendConnection>> idle = new LinkedHashMap<>();

    ConnectionPool(EmulationContext context, SidecarBackend backend) {
        this.context = context;
        this.backend = backend;
    }

    /** Removes and returns an idle connection; null if there is none. */
    BackendConnection takeIdle(Backend.Server to) {
        ArrayDeque<BackendConnection> kept = idle.get(to);
        return kept == null ? null : kept.pollLast();
    }

    void release(BackendConnection connection) {
        connection.idleSince = context.time.now();
        BackendServer server = connection.server();
        idle.computeIfAbsent(new Backend.Server(server.id(), server.address()), key -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** Closes the connections that exceed the idle timeout. */
    void closeExpired() {
        long oldest = context.time.now() - VirtualTime.ticks(context.settings.connectionIdleMs);
        for (Iterator<ArrayDeque<BackendConnection>> all = idle.values().iterator(); all.hasNext(); ) {
            ArrayDeque<BackendConnection> kept = all.next();
            while (!kept.isEmpty() && kept.peekFirst().idleSince < oldest) {
                kept.pollFirst().close();
            }
            if (kept.isEmpty()) {
                all.remove();
            }
        }
    }

    void forget(Backend.Server server) {
        ArrayDeque<BackendConnection> kept = idle.remove(server);
        if (kept != null) {
            kept.forEach(BackendConnection::close);
        }
    }

    void closeAll() {
        idle.values().forEach(kept -> kept.forEach(BackendConnection::close));
        idle.clear();
    }

    /**
     * Opens a connection. The callback receives it, or null if refused; it is not called if the server is unresponsive.
     */
    void open(Backend.Server to, Consumer<BackendConnection> done) {
        BackendServer server = context.fleet.at(to.address());
        long trips = context.scenario.network().handshakeTrips();
        context.network.transmit(backend.zone(), server.zone(), backend.random(), () -> {
            if (server.silent()) {
                return;
            }
            boolean taken = server.connect();
            BackendConnection fresh = taken ? new BackendConnection(server) : null;
            if (taken) {
                context.meters.connected();
            }
            double handshakeMs = taken
                    ? (trips - 1) * 2 * context.network.oneWayDelayMs(backend.zone(), server.zone(), backend.random())
                    : 0;
            context.time.after(
                    handshakeMs,
                    () -> context.network.transmit(
                            server.zone(), backend.zone(), backend.random(), () -> done.accept(fresh)));
        });
    }
}
