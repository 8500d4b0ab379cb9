package peppergauge;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import peppergauge.config.Config;

/** A sidecar with an extension, one scripted backend that may leave requests unanswered, and scripted discovery. */
public final class PersistentSidecarFixture implements Closeable {

    private final ScriptedServer backend;
    private final ScriptedServer discovery;
    private Sidecar sidecar;
    private final double startMs;
    private int sentRequests;

    public PersistentSidecarFixture(SidecarExtension extension, String name) throws Exception {
        backend = new ScriptedServer((request, connection) -> {
            if (!request.line().contains("silent")) {
                ScriptedServer.write(connection, ScriptedServer.okResponse("x"));
            }
        });
        discovery = new ScriptedServer((request, connection) ->
                ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        startMs = start(extension, name);
    }

    /** Starts a sidecar with the same backend and discovery. Returns the duration of the start, ms. */
    public double start(SidecarExtension extension, String name) throws Exception {
        Path file = Files.createTempFile("sidecar", ".json");
        String knownEndpoints = SidecarFixture.endpointUpdate(backend.address(), 1, true, "active");
        Files.writeString(file, SidecarFixture.configJson(discovery.address(), 256, knownEndpoints));
        long start = System.nanoTime();
        sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", file.toString(), "GW_NAME", name)), extension);
        sidecar.start();
        Files.delete(file);
        return (System.nanoTime() - start) / 1e6;
    }

    /** Returns the duration of the first start, ms. */
    public double startMs() {
        return startMs;
    }

    /** Sends an idempotent request and returns the status of its response. */
    public int sendIdempotent() throws IOException {
        return send("GET /list/k", "a" + sentRequests++);
    }

    /**
     * Sends a non-idempotent request and returns the status of its response.
     *
     * @param silent whether the backend leaves the request unanswered
     */
    public int sendNonIdempotent(String id, boolean silent) throws IOException {
        return send("POST /gift/k" + (silent ? "?silent" : ""), id);
    }

    private int send(String line, String id) throws IOException {
        try (Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort())) {
            client.setSoTimeout(8_000);
            return SidecarFixture.status(SidecarFixture.exchange(
                    client,
                    line + " HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                            + "\r\nX-Org: acme\r\nX-Remaining-Ms: 600\r\nContent-Length: 0\r\n\r\n"));
        }
    }

    /** Returns how many requests with this id the backend received. */
    public long executions(String id) {
        return List.copyOf(backend.requests).stream()
                .filter(request -> id.equals(request.header("X-Txn")))
                .count();
    }

    /** Stops the sidecar as after SIGTERM. */
    public void shutDownGracefully() {
        sidecar.shutDownGracefully();
    }

    /** Stops the sidecar without waiting for requests in flight. */
    public void stopAbruptly() {
        sidecar.stop();
    }

    @Override
    public void close() throws IOException {
        sidecar.stop();
        backend.close();
        discovery.close();
    }
}
