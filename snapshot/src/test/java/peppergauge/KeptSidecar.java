package peppergauge;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import peppergauge.config.Config;

/** A sidecar with an extension, scripted servers and one client; its backend server may stay silent. */
public final class KeptSidecar implements Closeable {

    private final ScriptedServer backend;
    private final ScriptedServer discovery;
    private Sidecar sidecar;
    private final double startMs;
    private int asked;

    public KeptSidecar(SidecarExtension additions, String name) throws Exception {
        backend = new ScriptedServer((request, connection) -> {
            if (!request.line().contains("silent")) {
                ScriptedServer.write(connection, ScriptedServer.okResponse("x"));
            }
        });
        discovery = new ScriptedServer((request, connection) ->
                ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        startMs = start(additions, name);
    }

    /** Starts again with the same backend server; returns how long it took, ms. */
    public double start(SidecarExtension additions, String name) throws Exception {
        Path file = Files.createTempFile("kept", ".json");
        Files.writeString(
                file,
                SidecarFixture.configJson(
                        discovery.address(),
                        256,
                        SidecarFixture.endpointUpdate(backend.address(), 1, true, "active")));
        long start = System.nanoTime();
        sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", file.toString(), "GW_NAME", name)), additions);
        sidecar.start();
        Files.delete(file);
        return (System.nanoTime() - start) / 1e6;
    }

    public double startMs() {
        return startMs;
    }

    /** The status that a safe request gets. */
    public int ask() throws IOException {
        return ask("GET /list/k", "a" + asked++);
    }

    /** The status that a non-repeatable request gets; its backend server never answers it where {@code silent}. */
    public int give(String id, boolean silent) throws IOException {
        return ask("POST /gift/k" + (silent ? "?silent" : ""), id);
    }

    private int ask(String line, String id) throws IOException {
        try (Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort())) {
            client.setSoTimeout(8_000);
            return SidecarFixture.status(SidecarFixture.exchange(
                    client,
                    line + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                            + "\r\nX-Org: acme\r\nX-Remaining-Ms: 600\r\nContent-Length: 0\r\n\r\n"));
        }
    }

    /** How often the backend server was asked with this id. */
    public long timesRun(String id) {
        return List.copyOf(backend.requests).stream()
                .filter(request -> id.equals(request.header("X-Txn")))
                .count();
    }

    /** In order, as after SIGTERM. */
    public void windDown() {
        sidecar.shutDownGracefully();
    }

    /** At once, with sessions open. */
    public void stopNow() {
        sidecar.stop();
    }

    @Override
    public void close() throws IOException {
        sidecar.stop();
        backend.close();
        discovery.close();
    }
}
