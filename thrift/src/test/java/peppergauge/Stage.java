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

/** A sidecar with the addition between a scripted server and clients, which may spell differently. */
final class Stage implements Closeable {

    /** Who speaks how. */
    record Pair(Spelling client, Spelling server) {

        @Override
        public String toString() {
            return client + "-" + server;
        }
    }

    /** What a server does with what it is asked. */
    interface Script {
        void answer(Spelling.Ask ask, Socket connection) throws Exception;
    }

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

    final Pair pair;
    final List<Spelling.Ask> asks = new CopyOnWriteArrayList<>();
    final List<Socket> connections = new CopyOnWriteArrayList<>();
    /** Runs on the loop once a request is read, before any attempt of it; null: nothing does. */
    volatile Runnable holdAfterReading;

    final Sidecar sidecar;
    final ThriftExtension addition;
    private final ScriptedServer discovery;
    private volatile Socket watch;
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    Stage(Pair pair, Script script) throws Exception {
        this(pair, 256, script);
    }

    Stage(Pair pair, int sockets, Script script) throws Exception {
        this.pair = pair;
        discovery = new ScriptedServer((request, connection) -> {
            ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            watch = connection;
        });
        ScriptedServer.startDaemonThread(() -> {
            while (true) {
                Socket connection = listener.accept();
                connections.add(connection);
                ScriptedServer.startDaemonThread(() -> serve(connection, script));
            }
        });
        Path path = Files.createTempFile("stage", ".json");
        path.toFile().deleteOnExit();
        Files.writeString(path, SidecarFixture.configJson(discovery.address(), sockets, table(1, "s", "active")));
        boolean http = pair.server() instanceof HttpSpelling;
        addition = new ThriftExtension(file("[thrift]\nlisten = \"127.0.0.1:0\"\n[thrift.servers]\nform = \""
                        + (http
                                ? "binary"
                                : pair.server()
                                        .toString()
                                        .toLowerCase(Locale.ROOT)
                                        .replace('_', '-')) + "\"\n"
                        + (http ? "only = [\"none\"]\n" : "") + METHODS)
                .values()
                .orElseThrow());
        sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", path.toString())), new Holding());
        sidecar.start();
    }

    /** The addition, with a place at which the loop can be held. */
    private final class Holding implements SidecarExtension {

        @Override
        public Backend wrapBackend(Backend http, Context parts) {
            return addition.wrapBackend(http, parts);
        }

        @Override
        public RequestHandler wrapRequestHandler(RequestDispatcher sessions, Context parts) {
            return new RequestHandler() {
                @Override
                public void handle(IncomingRequest opening, ResponseListener frontend) {
                    sessions.handle(opening, frontend);
                    Runnable hold = holdAfterReading;
                    if (hold != null) {
                        parts.loop().execute(hold);
                    }
                }

                @Override
                public void cancel(String id, ResponseListener frontend) {
                    sessions.cancel(id, frontend);
                }
            };
        }

        @Override
        public void onStarting(RequestHandler intake, RequestDispatcher sessions, Context parts)
                throws IOException, InterruptedException {
            addition.onStarting(intake, sessions, parts);
        }

        @Override
        public void onStopping() {
            addition.onStopping();
        }
    }

    static ReadResult file(String text) {
        return new OperatorFiles(List.of(ThriftSection.KIND)).read("f", "kind = \"thrift\"\n" + text);
    }

    String table(int version, String id, String state) {
        return SidecarFixture.endpointUpdate("127.0.0.1:" + listener.getLocalPort(), version, true, state)
                .replace("\"s\"", '"' + id + '"');
    }

    void tell(String line) throws Exception {
        ScriptedServer.await(() -> watch != null);
        ScriptedServer.write(watch, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        Thread.sleep(50);
    }

    private void serve(Socket connection, Script script) throws Exception {
        Spelling.End end = pair.server().on(connection.getInputStream());
        for (Spelling.Ask ask = end.ask(); ask != null; ask = end.ask()) {
            asks.add(ask);
            script.answer(ask, connection);
        }
        connection.close();
    }

    static Spelling.Ask asking(String method, String id, long remainingMs) {
        return new Spelling.Ask(method, id, remainingMs, method.equals("list") ? "" : "x", 7);
    }

    Socket client() throws IOException {
        InetSocketAddress to = pair.client() instanceof HttpSpelling ? sidecar.address() : addition.address();
        Socket client = new Socket(to.getAddress(), to.getPort());
        client.setTcpNoDelay(true);
        client.setSoTimeout(8_000);
        return client;
    }

    Spelling.Answer ask(Spelling.Ask ask) throws IOException {
        return ask(ask, "acme");
    }

    Spelling.Answer ask(Spelling.Ask ask, String tenant) throws IOException {
        try (Socket client = client()) {
            return ask(client, ask, tenant);
        }
    }

    Spelling.Answer ask(Socket client, Spelling.Ask ask, String tenant) throws IOException {
        client.getOutputStream().write(pair.client().ask(ask, tenant));
        return pair.client().on(client.getInputStream()).answer();
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
