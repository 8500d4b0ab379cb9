package peppergauge;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import peppergauge.config.Config;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.ReadResult;
import peppergauge.request.Backend;
import peppergauge.request.IncomingRequest;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;
import peppergauge.thrift.ThriftExtension;
import peppergauge.thrift.file.ThriftSection;

/** A sidecar with the Thrift extension between clients and a scripted server, which may use different protocols. */
final class ThriftSidecarFixture implements Closeable {

    /** The protocols of the client and of the server. */
    record ProtocolPair(ProtocolCodec client, ProtocolCodec server) {

        @Override
        public String toString() {
            return client + "-" + server;
        }
    }

    /** How the server responds to each request. */
    interface Script {
        void respond(ProtocolCodec.Request request, Socket connection) throws Exception;
    }

    private static final int DEFAULT_MAX_SOCKETS = 256;

    static final String METHODS = """
            [[thrift.method]]
            name = "list"
            class = "list"
            id = "1.1"
            tenant = "1.2"
            remaining = "1.3"
            never-ran = [1]
            load = "0.9"
            [[thrift.method]]
            name = "gift"
            class = "gift"
            id = "1.1"
            tenant = "1.2"
            key = "2"
            remaining = "1.3"
            never-ran = [1]
            [[thrift.method]]
            name = "hint"
            class = "list"
            absent-tenant = "acme"
            absent-remaining = "900 ms"
            """;

    final ProtocolPair protocols;
    /** The requests that the server has received. */
    final List<ProtocolCodec.Request> requests = new CopyOnWriteArrayList<>();
    /** The connections that the server has accepted. */
    final List<Socket> connections = new CopyOnWriteArrayList<>();
    /** Run by the event loop after a request is read and before its first attempt; may be null. */
    volatile Runnable afterRequestRead;

    final Sidecar sidecar;
    final ThriftExtension extension;
    private final ScriptedServer discovery;
    private volatile Socket endpointWatch;
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    ThriftSidecarFixture(ProtocolPair protocols, Script script) throws Exception {
        this(protocols, DEFAULT_MAX_SOCKETS, script);
    }

    ThriftSidecarFixture(ProtocolPair protocols, int maxSockets, Script script) throws Exception {
        this.protocols = protocols;
        discovery = new ScriptedServer((request, connection) -> {
            ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            endpointWatch = connection;
        });
        ScriptedServer.startDaemonThread(() -> {
            while (true) {
                Socket connection = listener.accept();
                connections.add(connection);
                ScriptedServer.startDaemonThread(() -> serve(connection, script));
            }
        });
        Path path = Files.createTempFile("thrift-sidecar", ".json");
        path.toFile().deleteOnExit();
        Files.writeString(
                path, SidecarFixture.configJson(discovery.address(), maxSockets, endpointUpdate(1, "s", "active")));
        extension = new ThriftExtension(
                readOperatorFile(operatorFile(protocols.server())).values().orElseThrow());
        sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", path.toString())), new PausingExtension());
        sidecar.start();
    }

    private static String operatorFile(ProtocolCodec server) {
        boolean isHttp = server instanceof HttpProtocolCodec;
        String serverForm =
                isHttp ? "binary" : server.toString().toLowerCase(Locale.ROOT).replace('_', '-');
        return "[thrift]\nlisten = \"127.0.0.1:0\"\n[thrift.servers]\nform = \"" + serverForm + "\"\n"
                + (isHttp ? "only = [\"none\"]\n" : "") + METHODS;
    }

    /** The Thrift extension, which also runs {@link #afterRequestRead}. */
    private final class PausingExtension implements SidecarExtension {

        @Override
        public Backend wrapBackend(Backend http, Context context) {
            return extension.wrapBackend(http, context);
        }

        @Override
        public RequestHandler wrapRequestHandler(RequestDispatcher dispatcher, Context context) {
            return new RequestHandler() {
                @Override
                public void handle(IncomingRequest request, ResponseListener listener) {
                    dispatcher.handle(request, listener);
                    Runnable action = afterRequestRead;
                    if (action != null) {
                        context.loop().execute(action);
                    }
                }

                @Override
                public void cancel(String id, ResponseListener listener) {
                    dispatcher.cancel(id, listener);
                }
            };
        }

        @Override
        public void onStarting(RequestHandler requestHandler, RequestDispatcher dispatcher, Context context)
                throws IOException, InterruptedException {
            extension.onStarting(requestHandler, dispatcher, context);
        }

        @Override
        public void onStopping() {
            extension.onStopping();
        }
    }

    static ReadResult readOperatorFile(String text) {
        return new OperatorFiles(List.of(ThriftSection.KIND)).read("f", "kind = \"thrift\"\n" + text);
    }

    /** An endpoint list whose only server is the scripted one, under this id. */
    String endpointUpdate(int version, String id, String state) {
        return SidecarFixture.endpointUpdate("127.0.0.1:" + listener.getLocalPort(), version, true, state)
                .replace("\"s\"", '"' + id + '"');
    }

    /** Sends an update through the endpoint watch and waits until it should be applied. */
    void sendEndpointUpdate(String line) throws Exception {
        ScriptedServer.await(() -> endpointWatch != null);
        ScriptedServer.write(endpointWatch, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        Thread.sleep(50);
    }

    private void serve(Socket connection, Script script) throws Exception {
        ProtocolCodec.Reader reader = protocols.server().newReader(connection.getInputStream());
        for (ProtocolCodec.Request request = reader.readRequest(); request != null; request = reader.readRequest()) {
            requests.add(request);
            script.respond(request, connection);
        }
        connection.close();
    }

    /** A server that responds with the id of the request. */
    static Script respondingWithId(ProtocolCodec server) {
        return (request, connection) ->
                connection.getOutputStream().write(server.encodeResponse(request, request.id()));
    }

    static ProtocolCodec.Request request(String method, String id, long remainingMs) {
        return new ProtocolCodec.Request(method, id, remainingMs, method.equals("list") ? "" : "x", 7);
    }

    Socket connectClient() throws IOException {
        InetSocketAddress address =
                protocols.client() instanceof HttpProtocolCodec ? sidecar.address() : extension.address();
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setTcpNoDelay(true);
        client.setSoTimeout(8_000);
        return client;
    }

    ProtocolCodec.Response exchange(ProtocolCodec.Request request) throws IOException {
        return exchange(request, "acme");
    }

    ProtocolCodec.Response exchange(ProtocolCodec.Request request, String tenant) throws IOException {
        try (Socket client = connectClient()) {
            return exchange(client, request, tenant);
        }
    }

    void send(Socket client, ProtocolCodec.Request request) throws IOException {
        client.getOutputStream().write(protocols.client().encodeRequest(request, "acme"));
    }

    ProtocolCodec.Response exchange(Socket client, ProtocolCodec.Request request, String tenant) throws IOException {
        client.getOutputStream().write(protocols.client().encodeRequest(request, tenant));
        return protocols.client().newReader(client.getInputStream()).readResponse();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        discovery.close();
        for (Socket connection : connections) {
            connection.close();
        }
        sidecar.stop();
    }
}
