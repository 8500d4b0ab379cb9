package peppergauge.lab.play;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.standin.BackendServer;
import peppergauge.lab.standin.RequestHandler;
import peppergauge.lab.standin.ServerConnection;
import peppergauge.lab.wire.Message;

/**
 * The listener at which one sidecar reaches one server slot. It adds the network's delays between the two zones and
 * passes requests to the server's model.
 */
final class ServerEndpoint implements RequestHandler {

    private static final int DEFAULT_BODY_BYTES = 200;

    /** How the listener treats new connections. */
    private enum Reachability {
        OPEN,
        REFUSED,
        SILENT
    }

    private final RunContext context;
    private final ServerSlot slot;
    private final SidecarInstance sidecar;
    private final BackendServer listener;
    /** When the modelled handshake of each connection is complete, in ms. */
    private final Map<ServerConnection, Double> readyMs = new HashMap<>();

    private Reachability reachability = Reachability.OPEN;

    ServerEndpoint(RunContext context, ServerSlot slot, SidecarInstance sidecar) throws IOException {
        this.context = context;
        this.slot = slot;
        this.sidecar = sidecar;
        listener = new BackendServer(context.loop, sidecar::codec, this);
    }

    String address() {
        return listener.address();
    }

    int connections() {
        return readyMs.size();
    }

    /** Adapts the listener to the state of the server and of the network. */
    void sync() {
        ServerInstance server = slot.server();
        Reachability now = sidecar.isCutFrom(slot.zone()) || server.silent()
                ? Reachability.SILENT
                : server.up() ? Reachability.OPEN : Reachability.REFUSED;
        if (now != reachability) {
            reachability = now;
            try {
                switch (now) {
                    case OPEN -> listener.comeBack();
                    case REFUSED -> listener.die();
                    case SILENT -> listener.vanish();
                }
            } catch (IOException failed) {
                throw new IllegalStateException(
                        "cannot listen again on the port of a stand-in server: " + address(), failed);
            }
        }
    }

    private double toServerMs() {
        return context.network.oneWayMs(sidecar.zone(), slot.zone());
    }

    private double toSidecarMs() {
        return context.network.oneWayMs(slot.zone(), sidecar.zone());
    }

    @Override
    public void opened(ServerConnection connection) {
        ServerInstance server = slot.server();
        if (slot.connections() >= slot.kind().connections() * slot.kind().cores()) {
            connection.reset();
            return;
        }
        double handshakeMs = 0;
        for (int i = 0; i < context.scenario.network().handshakeTrips(); i++) {
            handshakeMs += toServerMs() + toSidecarMs();
        }
        readyMs.put(connection, context.nowMs() + handshakeMs);
        server.model().addBackgroundWork(Scenario.toMillis(slot.kind().connectionWork()));
        context.meters.connected();
    }

    @Override
    public void closed(ServerConnection connection) {
        readyMs.remove(connection);
    }

    @Override
    public void asked(Message request, ServerConnection connection) throws IOException {
        ServerInstance server = slot.server();
        int incarnation = server.incarnation();
        double arrivesMs = Math.max(0, readyMs.getOrDefault(connection, 0.0) - context.nowMs()) + toServerMs();
        Runnable arrival = switch (request.startLineToken(1)) {
            case "/alive" -> () -> answerProbe(server, connection, "");
            case "/metrics/load" ->
                () -> answerProbe(server, connection, server.model().report());
            default -> requestArrival(request, connection, server);
        };
        context.after(arrivesMs, () -> {
            if (slot.server() == server && server.incarnation() == incarnation) {
                arrival.run();
            }
        });
    }

    private void answerProbe(ServerInstance server, ServerConnection connection, String body) {
        context.meters.countProbe();
        server.model().addBackgroundWork(Scenario.toMillis(slot.kind().probeWork()));
        answer(server, connection, null, "200 OK", body);
    }

    private Runnable requestArrival(Message request, ServerConnection connection, ServerInstance server) {
        String id = request.header("X-Txn");
        if (id == null) {
            // Sidecars always send X-Txn. This may be a client of another program that used the port before.
            return () -> answer(server, connection, null, "404 Not Found", "");
        }
        ClientAttempt attempt = context.attempts.get(id);
        if (attempt == null) {
            context.rules.broken(
                    "unknown",
                    sidecar.name() + " sent to " + slot.name() + ": " + request.startLineToken(0) + " "
                            + request.startLineToken(1) + " with id " + id + ", which no client sent");
            return () -> answer(server, connection, null, "400 Bad Request", "");
        }
        context.rules.arrived(attempt, id, sidecar, server);
        context.meters.attempt(server, attempt.backendAttempts++ > 0);
        ClientAttempt.BackendAttempt backendAttempt = new ClientAttempt.BackendAttempt(connection);
        attempt.lastBackendAttempt = backendAttempt;
        if (context.network.breaksConnection()) {
            return () -> breakConnection(connection);
        }
        double expiresMs = context.nowMs() + request.number("X-Remaining-Ms", Double.POSITIVE_INFINITY);
        LogicalRequest logicalRequest = attempt.logicalRequest;
        return () -> server.model()
                .arrive(new ServerModel.Work(
                        logicalRequest.workMs,
                        logicalRequest.key,
                        expiresMs,
                        () -> {
                            context.rules.executed(logicalRequest, id, server.id());
                            if (logicalRequest.poison) {
                                server.kill(IncidentRunner.POISON_RESTART_MS);
                            }
                        },
                        outcome -> finish(outcome, server, connection, attempt, backendAttempt, id)));
    }

    private void finish(
            ServerModel.Outcome outcome,
            ServerInstance server,
            ServerConnection connection,
            ClientAttempt attempt,
            ClientAttempt.BackendAttempt backendAttempt,
            String id) {
        boolean executed = outcome == ServerModel.Outcome.SERVED || outcome == ServerModel.Outcome.LOST;
        if (executed) {
            context.meters.addWork(attempt.logicalRequest.workMs, !connection.isOpen());
        }
        if (outcome == ServerModel.Outcome.LOST || context.network.breaksConnection()) {
            breakConnection(connection);
            return;
        }
        switch (outcome) {
            case SERVED ->
                answer(
                        server,
                        connection,
                        backendAttempt,
                        "200 OK",
                        id + " ".repeat(Math.max(0, bodyBytes(attempt.logicalRequest) - id.length())));
            case ERROR -> answer(server, connection, backendAttempt, "500 Internal Server Error", "");
            default -> answer(server, connection, backendAttempt, "503 Service Unavailable\r\nX-Turned-Away: 1", "");
        }
    }

    private int bodyBytes(LogicalRequest logicalRequest) {
        long kib = context.scenario.classes().get(logicalRequest.kind).answerKib();
        return kib == 0 ? DEFAULT_BODY_BYTES : (int) kib * 1024;
    }

    private void breakConnection(ServerConnection connection) {
        if (connection.isOpen()) {
            connection.reset();
            connection.broken();
        }
    }

    /**
     * Sends a response with the load report of this moment, which arrives after the network's delay.
     *
     * @param backendAttempt null if the request was not an attempt of a client
     */
    private void answer(
            ServerInstance server,
            ServerConnection connection,
            ClientAttempt.BackendAttempt backendAttempt,
            String status,
            String body) {
        String report = "X-Pressure: " + server.model().report() + "\r\n";
        context.after(toSidecarMs(), () -> {
            if (!connection.isOpen()) {
                return;
            }
            if (backendAttempt != null) {
                backendAttempt.answered();
            }
            try {
                connection.answer(status, report, body);
            } catch (IOException gone) {
                connection.close();
                connection.broken();
            }
        });
    }
}
