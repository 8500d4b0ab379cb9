package peppergauge.backend;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.DefaultThreadFactory;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import peppergauge.decision.Balancer.LoadField;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.session.Backend;
import peppergauge.session.Clock;
import peppergauge.session.Message;
import peppergauge.sockets.SocketRoom;

/** Attempts and probes over HTTP/1.1. */
public final class HttpBackend implements Backend {

    /** HttpCore looks at its time-outs once in this time; its own second would make 200 ms of connecting 1 s. */
    private static final TimeValue SELECT_INTERVAL = TimeValue.ofMilliseconds(20);
    private static final String PROBE_PATH = "/metrics/load";
    private final Clock clock;
    private final List<LoadField> loadFields;
    private final DefaultConnectingIOReactor reactor;
    private final Connections connections;

    public HttpBackend(Clock clock, List<LoadField> loadFields, double connectTimeoutMs, double idleMs,
            int mostConnections) {
        this.clock = clock;
        this.loadFields = loadFields;
        SocketRoom room = new SocketRoom(mostConnections);
        this.reactor = new DefaultConnectingIOReactor((up, connection) -> ((ServerConnection) connection).comeUp(up),
                IOReactorConfig.custom().setIoThreadCount(1).setSelectInterval(SELECT_INTERVAL).setTcpNoDelay(true)
                        .build(),
                new DefaultThreadFactory("backend", true), null, HttpExchange::report, new Closings(room), room,
                ShutdownCommand.GRACEFUL_IMMEDIATE_CALLBACK, null);
        this.connections = new Connections(reactor, room, mostConnections, connectTimeoutMs, idleMs);
    }

    public void start() {
        reactor.start();
    }

    public void close() {
        connections.close();
        reactor.close(CloseMode.IMMEDIATE);
    }

    @Override
    public Exchange send(Server server, Message message, double untilMs, Consumer<Result> ended) {
        HttpExchange exchange = new HttpExchange(connections, server, message, () -> untilMs - clock.nowMs(),
                loadFields, ended);
        exchange.start();
        return exchange;
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        Message probe = new Message("GET", PROBE_PATH, List.of(new Message.Field("Host", server.address())),
                new byte[0]);
        return send(server, probe, untilMs, result -> ended.accept(probed(result)));
    }

    /** A probe's body is the report, where the header does not carry it. */
    private Result probed(Result result) {
        if (result.outcome() != Outcome.SUCCESS || result.load() != null) {
            return result;
        }
        String report = new String(result.answer().body(), StandardCharsets.ISO_8859_1).trim();
        return new Result(Outcome.SUCCESS, null, LoadReport.parse(report, loadFields));
    }

    @Override
    public void forget(Server server) {
        connections.forget(server);
    }
}
