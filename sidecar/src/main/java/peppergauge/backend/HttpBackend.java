package peppergauge.backend;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.LargeBodies;
import peppergauge.request.Message;
import peppergauge.settings.LoadReportParser;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.SocketLimit;

/** Attempts and probes over HTTP/1.1. */
public final class HttpBackend implements Backend {

    private static final String PROBE_PATH = "/metrics/load";
    private final Clock clock;
    private final DoubleSupplier arrivedMs;
    private final List<LoadField> loadFields;
    private final ConnectionPool connections;
    private final LargeBodies bodies;

    /**
     * @param arrivedMs tells when what the loop is reading came in, as far as that is known, ms
     * @param connectTimeoutMs after which a connection that has not come up is given up, ms
     * @param idleMs after which backend servers close a connection, ms
     * @param mostConnections descriptors that these connections may hold together
     * @param bodies takes answers that are too long to be held whole
     */
    public HttpBackend(
            Clock clock,
            EventLoop loop,
            DoubleSupplier arrivedMs,
            List<LoadField> loadFields,
            double connectTimeoutMs,
            double idleMs,
            int mostConnections,
            LargeBodies bodies) {
        this.bodies = bodies;
        this.clock = clock;
        this.arrivedMs = arrivedMs;
        this.loadFields = loadFields;
        this.connections = new ConnectionPool(
                loop, new SocketLimit(mostConnections, loop), mostConnections, connectTimeoutMs, idleMs);
    }

    @Override
    public Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
        HttpExchange exchange = new HttpExchange(
                connections, server, message, new Times(clock, arrivedMs, untilMs), loadFields, bodies, sender);
        exchange.start();
        return exchange;
    }

    private record Times(Clock clock, DoubleSupplier arrival, double untilMs) implements HttpExchange.Times {

        @Override
        public double nowMs() {
            return clock.nowMs();
        }

        @Override
        public double remainingMs() {
            return untilMs - clock.nowMs();
        }

        @Override
        public double arrivedMs() {
            return arrival.getAsDouble();
        }
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        Message probe =
                new Message("GET", PROBE_PATH, List.of(new Message.Field("Host", server.address())), new byte[0]);
        return send(server, probe, untilMs, result -> ended.accept(probed(result)));
    }

    /** A probe's body is the report, where the header does not carry it. */
    private Result probed(Result result) {
        if (result.response() != null && result.response().stream() != null) {
            // No report is that long.
            result.response().stream().release();
            return new Result(Outcome.BROKEN);
        }
        if (result.outcome() != Outcome.SUCCESS || result.loadReport() != null) {
            return result;
        }
        String report = new String(result.response().body(), StandardCharsets.ISO_8859_1).trim();
        return new Result(Outcome.SUCCESS, null, LoadReportParser.parse(report, loadFields), result.latencyMs());
    }

    @Override
    public void onServerRemoved(Server server) {
        connections.closeIdle(server);
    }
}
