package peppergauge.backend;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.URIAuthority;
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
    private final double probeTimeoutMs;
    private final HttpAsyncRequester requester;
    private final Connections connections;
    private final Map<String, HttpHost> hosts = new HashMap<>();

    /** {@code connectTimeoutMs} also bounds a probe: both are answered without waiting for other work. */
    public HttpBackend(Clock clock, List<LoadField> loadFields, double connectTimeoutMs, double idleMs,
            int mostConnections) {
        this.clock = clock;
        this.loadFields = loadFields;
        this.probeTimeoutMs = connectTimeoutMs;
        SocketRoom room = new SocketRoom(mostConnections);
        this.requester = AsyncRequesterBootstrap.bootstrap()
                .setIOReactorConfig(IOReactorConfig.custom().setIoThreadCount(1).setSelectInterval(SELECT_INTERVAL)
                        .setTcpNoDelay(true).build())
                .setHttp1Config(Http1Config.custom().setBufferSize(4096).setMaxHeaderCount(100)
                        .setMaxLineLength(8192).build())
                .setHttpProcessor(HttpProcessorBuilder.create().build())
                .setExceptionCallback(HttpExchange::report)
                .setIOReactorMetricsListener(room)
                .setIOSessionListener(new Closings(room))
                .create();
        // The processor is empty: what a request carries is settled by the message alone.
        this.connections = new Connections(requester, room, mostConnections, connectTimeoutMs, idleMs);
    }

    public void start() {
        requester.start();
    }

    public void close() {
        connections.close();
        requester.close(CloseMode.IMMEDIATE);
    }

    @Override
    public Exchange send(String address, Message message, double untilMs, Consumer<Result> ended) {
        return start(address, message, untilMs, ended);
    }

    @Override
    public void probe(String address, Consumer<Result> ended) {
        Message probe = new Message("GET", PROBE_PATH, List.of(new Message.Field("Host", address)), new byte[0]);
        start(address, probe, clock.nowMs() + probeTimeoutMs, result -> ended.accept(probed(result)));
    }

    /** A probe's body is the report, where the header does not carry it. */
    private Result probed(Result result) {
        if (result.outcome() != Outcome.SUCCESS || result.load() != null) {
            return result;
        }
        String report = new String(result.answer().body(), StandardCharsets.ISO_8859_1).trim();
        return new Result(Outcome.SUCCESS, null, LoadReport.parse(report, loadFields));
    }

    private Exchange start(String address, Message message, double untilMs, Consumer<Result> ended) {
        HttpExchange exchange = new HttpExchange(connections, hosts.computeIfAbsent(address, HttpBackend::host),
                message, () -> untilMs - clock.nowMs(), loadFields, ended);
        exchange.start();
        return exchange;
    }

    private static HttpHost host(String address) {
        try {
            URIAuthority authority = URIAuthority.create(address);
            return new HttpHost(URIScheme.HTTP.id, authority.getHostName(), authority.getPort());
        } catch (URISyntaxException malformed) {
            throw new IllegalArgumentException("not an address: " + address);
        }
    }
}
