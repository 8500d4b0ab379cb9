package peppergauge;

import static org.testng.Assert.assertEquals;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import peppergauge.config.Config;
import peppergauge.decision.LoadBalancer;
import peppergauge.frontend.HttpFrontend;
import peppergauge.request.RequestDispatcher;
import peppergauge.sockets.EventLoop;

/** A sidecar between toys: one backend server, discovery, and clients on raw sockets. */
public final class SidecarFixture implements Closeable {

    public static final String SETTINGS = """
            {"balancers":1,"me":0,"zone":0,"areas":["z0"],"tickMs":5,"overShareWorth":1,"registryMode":"automatic",
             "limits":{"cancelling":true,"connIdleMs":800,"connectTimeoutMs":200,"maxRetryAfterMs":1200,
                       "mayProbe":false,"mostTries":4,"parallelTries":false,"retryAfter":true},
             "profiles":[
               {"name":"list","aimMs":400,"deadlineMs":1000,"worth":1,"lateWorth":0.3,"effect":"idempotent"},
               {"name":"gift","aimMs":400,"deadlineMs":1000,"worth":9,"lateWorth":0.3,"effect":"at_most_once"}],
             "report":{"how":"piggyback","names":["active","waiting","avg_ms"]},
             "rules":{"coldShare":0.3,"coldMs":100,"tipMultiple":2.5,"fallMs":3000},
             "tenants":[{"name":"acme","quotaPerS":1000}]}
            """;

    /** What stands round each sidecar; for the tests of other modules, which run these with additions. */
    static volatile Supplier<SidecarExtension> additions = () -> SidecarExtension.NONE;

    static final ScriptedServer.Script ECHO = (request, connection) -> ScriptedServer.write(connection, ScriptedServer.okResponse(request.header("X-Txn")));

    final ScriptedServer backend;
    final ScriptedServer discovery;
    final Sidecar sidecar;
    private final Config configuration;
    private volatile Socket watch;

    SidecarFixture(ScriptedServer.Script script) throws Exception {
        this(script, 256);
    }

    SidecarFixture(ScriptedServer.Script script, int sockets) throws Exception {
        this(script, sockets, 1);
    }

    /** {@code servers}: so many are listed, all of them at the one toy; one alone would be held full or failing. */
    SidecarFixture(ScriptedServer.Script script, int sockets, int servers) throws Exception {
        backend = new ScriptedServer(script);
        discovery = new ScriptedServer((request, connection) -> {
            ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            watch = connection;
        });
        configuration = Config.read(Map.of("GW_CONFIG", file(sockets, servers)));
        sidecar = new Sidecar(configuration, additions.get());
        sidecar.start();
    }

    /** What the sidecar was started with. */
    Config configuration() {
        return configuration;
    }

    private String file(int sockets, int servers) throws IOException {
        Path path = Files.createTempFile("peppergauge", ".json");
        path.toFile().deleteOnExit();
        return Files.writeString(path, configJson(discovery.address(), sockets, knownEndpoints(backend.address(), servers)))
                .toString();
    }

    /** A configuration with {@link #SETTINGS}. */
    public static String configJson(String discovery, int sockets, String known) {
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets + "},\"known\":" + known
                + ",\"settings\":" + SETTINGS + "}";
    }

    String endpointUpdate(int version, boolean full, String state) {
        return endpointUpdate(backend.address(), version, full, state);
    }

    static String knownEndpoints(String address, int servers) {
        return endpointUpdate(
                1,
                true,
                IntStream.range(0, servers)
                        .mapToObj(i -> endpointJson(i == 0 ? "s" : "s" + i, address, "active"))
                        .toList());
    }

    static String endpointUpdate(String address, int version, boolean full, String state) {
        return endpointUpdate(version, full, List.of(endpointJson("s", address, state)));
    }

    /** A list of servers as discovery tells it. */
    public static String endpointUpdate(long version, boolean full, Collection<String> rows) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", rows) + "]}";
    }

    public static String endpointJson(String id, String address, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"z0\",\"cell\":0,\"state\":\"" + state
                + "\",\"started_ms\":0}";
    }

    /** Has discovery say so, in two reads that split the line. */
    void tell(String line) throws Exception {
        ScriptedServer.await(() -> watch != null);
        for (String part : new String[] {line.substring(0, 9), line.substring(9) + "\n"}) {
            ScriptedServer.write(watch, Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
            Thread.sleep(20);
        }
    }

    /** The thread that owns all, to be held up; the program shows it to nobody. */
    EventLoop loop() throws ReflectiveOperationException {
        return (EventLoop) part(Sidecar.class, "loop").get(sidecar);
    }

    /** Clients' side; the program shows it to nobody. */
    HttpFrontend frontend() throws ReflectiveOperationException {
        return (HttpFrontend) part(Sidecar.class, "frontend").get(sidecar);
    }

    /** Runs a task before the load balancer handles each new request, from now on. */
    void beforeEachSession(Runnable task) throws ReflectiveOperationException {
        Object dispatcher = part(Sidecar.class, "dispatcher").get(sidecar);
        Object driver = part(RequestDispatcher.class, "loadBalancer").get(dispatcher);
        Field loadBalancer = part(driver.getClass(), "loadBalancer");
        LoadBalancer own = (LoadBalancer) loadBalancer.get(driver);
        loadBalancer.set(driver, (LoadBalancer) (nowMs, event, actions) -> {
            if (event instanceof LoadBalancer.RequestArrived) {
                task.run();
            }
            own.handle(nowMs, event, actions);
        });
    }

    private static Field part(Class<?> owner, String name) throws ReflectiveOperationException {
        Field part = owner.getDeclaredField(name);
        part.setAccessible(true);
        return part;
    }

    Socket client() throws IOException {
        Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort());
        client.setSoTimeout(8_000);
        return client;
    }

    ScriptedServer.Request ask(String message) throws IOException {
        try (Socket client = client()) {
            return exchange(client, message);
        }
    }

    static ScriptedServer.Request exchange(Socket client, String message) throws IOException {
        client.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
        return ScriptedServer.readRequest(client.getInputStream());
    }

    static String get(String id, int remainingMs) {
        return "GET /list/k HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + remainingMs
                + "\r\n\r\n";
    }

    static String post(String id, int remainingMs, String body) {
        return "POST /gift/k?a=b%20c HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining-Ms: "
                + remainingMs + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static int status(ScriptedServer.Request answer) {
        return answer == null ? 0 : Integer.parseInt(answer.line().split(" ")[1]);
    }

    static void send(Socket socket, String text) {
        try {
            ScriptedServer.write(socket, text);
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    /** Asks, with 900 ms to wait, and must get what {@link #ECHO} says to this id and nobody else. */
    static void exchangeAndAssertId(Socket client, String id) throws IOException {
        assertResponseId(exchange(client, get(id, 900)), id);
    }

    static void assertResponseId(ScriptedServer.Request answer, String id) {
        assertEquals(status(answer), 200, id);
        assertEquals(new String(answer.body(), StandardCharsets.ISO_8859_1), id);
    }

    @Override
    public void close() throws IOException {
        backend.close();
        discovery.close();
        sidecar.stop();
    }
}
