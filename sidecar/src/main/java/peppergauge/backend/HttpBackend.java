package peppergauge.backend;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.memory.MessageMemory;
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
    private final MessageMemory messageMemory;

    /**
     * Creates a backend without connections.
     *
     * @param arrivedMs supplies the estimated arrival time of the input that the event loop is reading, ms
     * @param bodies streams large response bodies
     * @param messageMemory limits the memory of requests and responses
     */
    public HttpBackend(
            Clock clock,
            EventLoop loop,
            DoubleSupplier arrivedMs,
            List<LoadField> loadFields,
            ConnectionLimits limits,
            LargeBodies bodies,
            MessageMemory messageMemory) {
        this.clock = clock;
        this.arrivedMs = arrivedMs;
        this.loadFields = loadFields;
        this.bodies = bodies;
        this.messageMemory = messageMemory;
        this.connections = new ConnectionPool(loop, clock, new SocketLimit(limits.maxConnections(), loop), limits);
    }

    @Override
    public Exchange send(Server server, Message message, double untilMs, AttemptListener listener) {
        HttpExchange exchange = new HttpExchange(
                connections,
                server,
                message,
                new AttemptClock(clock, arrivedMs, untilMs),
                bodies,
                new ResponseReader(loadFields, bodies),
                new ResponseMemory(server, messageMemory),
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
