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

/** A sidecar with one scripted backend server, a scripted discovery server, and clients on raw sockets. */
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

    /** The extension of each sidecar; set by tests of other modules that run these tests with an extension. */
    static volatile Supplier<SidecarExtension> extensionSupplier = () -> SidecarExtension.NONE;

    /** Responds with the request's id. */
    static final ScriptedServer.Script ECHO = (request, connection) ->
            ScriptedServer.write(connection, ScriptedServer.okResponse(request.header("X-Txn")));

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

    /**
     * Starts a sidecar.
     *
     * @param script answers the requests to the backend server
     * @param sockets the sidecar's socket limit
     * @param servers number of listed servers, all at the address of the scripted one; a single one could be considered
     *     overloaded or failing
     */
    SidecarFixture(ScriptedServer.Script script, int sockets, int servers) throws Exception {
        backend = new ScriptedServer(script);
        discovery = new ScriptedServer((request, connection) -> {
            ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            watch = connection;
        });
        configuration = Config.read(Map.of("GW_CONFIG", writeConfigFile(sockets, servers)));
        sidecar = new Sidecar(configuration, extensionSupplier.get());
        sidecar.start();
    }

    /** Returns the sidecar's configuration. */
    Config configuration() {
        return configuration;
    }

    private String writeConfigFile(int sockets, int servers) throws IOException {
        Path path = Files.createTempFile("peppergauge", ".json");
        path.toFile().deleteOnExit();
        String known = knownEndpoints(backend.address(), servers);
        return Files.writeString(path, configJson(discovery.address(), sockets, known))
                .toString();
    }

    /** Returns a configuration file with {@link #SETTINGS}. */
    public static String configJson(String discovery, int sockets, String known) {
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets + "},\"known\":" + known
                + ",\"settings\":" + SETTINGS + "}";
    }

    String endpointUpdate(int version, boolean full, String state) {
        return endpointUpdate(backend.address(), version, full, state);
    }

    /** Returns an update with {@code servers} ready servers at one address. */
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

    /** Returns an endpoint update in the format of discovery. */
    public static String endpointUpdate(long version, boolean full, Collection<String> endpoints) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", endpoints) + "]}";
    }

    /** Returns one endpoint of an update. */
    public static String endpointJson(String id, String address, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"z0\",\"cell\":0,\"state\":\"" + state
                + "\",\"started_ms\":0}";
    }

    /** Sends a line from discovery, split into two reads. */
    void sendFromDiscovery(String line) throws Exception {
        ScriptedServer.await(() -> watch != null);
        for (String part : new String[] {line.substring(0, 9), line.substring(9) + "\n"}) {
            ScriptedServer.write(watch, Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
            Thread.sleep(20);
        }
    }

    /** Returns the event loop, which has no public accessor, so that tests can block it. */
    EventLoop loop() throws ReflectiveOperationException {
        return (EventLoop) privateField(Sidecar.class, "loop").get(sidecar);
    }

    /** Returns the frontend, which has no public accessor. */
    HttpFrontend frontend() throws ReflectiveOperationException {
        return (HttpFrontend) privateField(Sidecar.class, "frontend").get(sidecar);
    }

    /** Runs a task before the load balancer handles each new request, from now on. */
    void beforeEachRequest(Runnable task) throws ReflectiveOperationException {
        Object dispatcher = privateField(Sidecar.class, "dispatcher").get(sidecar);
        Object driver = privateField(RequestDispatcher.class, "loadBalancer").get(dispatcher);
        Field loadBalancer = privateField(driver.getClass(), "loadBalancer");
        LoadBalancer original = (LoadBalancer) loadBalancer.get(driver);
        loadBalancer.set(driver, (LoadBalancer) (nowMs, event, actions) -> {
            if (event instanceof LoadBalancer.RequestArrived) {
                task.run();
            }
            original.handle(nowMs, event, actions);
        });
    }

    private static Field privateField(Class<?> owner, String name) throws ReflectiveOperationException {
        Field field = owner.getDeclaredField(name);
        field.setAccessible(true);
        return field;
    }

    Socket client() throws IOException {
        Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort());
        client.setSoTimeout(8_000);
        return client;
    }

    ScriptedServer.Request exchange(String message) throws IOException {
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

    /** Returns the status of a response; 0 if there is none. */
    static int status(ScriptedServer.Request response) {
        return response == null ? 0 : Integer.parseInt(response.line().split(" ")[1]);
    }

    static void send(Socket socket, String text) {
        try {
            ScriptedServer.write(socket, text);
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    /** Sends a GET with a timeout of 900 ms, and asserts that the response is that of {@link #ECHO} for this id. */
    static void exchangeAndAssertId(Socket client, String id) throws IOException {
        assertResponseId(exchange(client, get(id, 900)), id);
    }

    /** Asserts that a response is that of {@link #ECHO} for this id. */
    static void assertResponseId(ScriptedServer.Request response, String id) {
        assertEquals(status(response), 200, id);
        assertEquals(new String(response.body(), StandardCharsets.ISO_8859_1), id);
    }

    @Override
    public void close() throws IOException {
        backend.close();
        discovery.close();
        sidecar.stop();
    }
}
