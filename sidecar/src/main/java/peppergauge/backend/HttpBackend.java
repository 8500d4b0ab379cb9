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

/** Sends attempts and health checks over HTTP/1.1. Only the event loop's thread uses it. */
public final class HttpBackend implements Backend {

    private static final String HEALTH_CHECK_PATH = "/metrics/load";

    private final Clock clock;
    private final DoubleSupplier arrivedMs;
    private final List<LoadField> loadFields;
    private final ConnectionPool connections;
    private final LargeBodies bodies;

    /**
     * Creates a backend without connections.
     *
     * @param arrivedMs supplies the estimated arrival time of the input that the event loop is reading, ms
     * @param connectTimeoutMs the connect timeout
     * @param idleMs time after which backend servers close an idle connection
     * @param quietMs time after a response for which its connection is not used for another request
     * @param maxConnections maximum number of descriptors that all connections hold together
     * @param bodies streams large response bodies
     */
    public HttpBackend(
            Clock clock,
            EventLoop loop,
            DoubleSupplier arrivedMs,
            List<LoadField> loadFields,
            double connectTimeoutMs,
            double idleMs,
            double quietMs,
            int maxConnections,
            LargeBodies bodies) {
        this.clock = clock;
        this.arrivedMs = arrivedMs;
        this.loadFields = loadFields;
        this.bodies = bodies;
        this.connections = new ConnectionPool(
                loop, clock, new SocketLimit(maxConnections, loop), maxConnections, connectTimeoutMs, idleMs, quietMs);
    }

    @Override
    public Exchange send(Server server, Message message, double untilMs, AttemptListener listener) {
        HttpExchange exchange = new HttpExchange(
                connections,
                server,
                message,
                new AttemptClock(clock, arrivedMs, untilMs),
                loadFields,
                bodies,
                listener);
        exchange.start();
        return exchange;
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        Message request = new Message(
                "GET", HEALTH_CHECK_PATH, List.of(new Message.Field("Host", server.address())), new byte[0]);
        return send(server, request, untilMs, result -> ended.accept(withReportFromBody(result)));
    }

    /** Returns the result of a health check with the load report from its body, unless a header contains one. */
    private Result withReportFromBody(Result result) {
        if (result.response() != null && result.response().stream() != null) {
            // A load report is never large enough to be streamed.
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
