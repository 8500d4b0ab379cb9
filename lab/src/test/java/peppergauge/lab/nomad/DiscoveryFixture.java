package peppergauge.lab.nomad;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import peppergauge.ScriptedServer;
import peppergauge.Sidecar;
import peppergauge.SidecarExtension;
import peppergauge.SidecarFixture;
import peppergauge.config.Config;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.nomad.NomadExtension;
import peppergauge.operator.ReadResult;

/** A sidecar with backend stand-ins, a stand-in for discovery, and clients that send one request after the other. */
final class DiscoveryFixture implements Closeable {

    /** How the sidecar discovers its servers. */
    enum DiscoveryMode {
        /** The sidecar watches the platform's discovery without membership. */
        PLAIN,
        /** The platform's discovery is a source of membership. */
        PLATFORM,
        /** Nomad is a source of membership, with the event stream. */
        NOMAD,
        /** Nomad is a source of membership, without the event stream. */
        QUERY_ONLY
    }

    private static final int CLIENTS = 3;
    /** Number of retries of a request that is rejected with 503; the sidecar rejects some when the machine is busy. */
    private static final int MAX_RETRIES = 20;

    private static final int RETRY_DELAY_MS = 30;

    final DiscoveryStandIn discovery;

    /** The stand-in for discovery if it is Nomad's; null otherwise. */
    final DiscoveryStandIn.Nomad nomad;

    final Sidecar sidecar;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger rejections = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean isStopped;
    private final List<Thread> clients = new ArrayList<>();

    /**
     * Starts a sidecar.
     *
     * @param knownServers servers in the sidecar's configuration
     * @param extraConfig further lines of the operator file, of section nomad and maybe section membership
     */
    DiscoveryFixture(
            DiscoveryMode mode, DiscoveryStandIn discovery, List<BackendStandIn> knownServers, String extraConfig)
            throws Exception {
        this.discovery = discovery;
        nomad = discovery instanceof DiscoveryStandIn.Nomad standIn ? standIn : null;
        sidecar = new Sidecar(config(discovery, knownServers), extension(mode, discovery.address(), extraConfig));
        sidecar.start();
    }

    /** Starts a sidecar whose configuration and discovery have these servers. */
    static DiscoveryFixture of(DiscoveryMode mode, List<BackendStandIn> servers, String extraConfig) throws Exception {
        DiscoveryStandIn discovery = createStandIn(mode);
        for (BackendStandIn each : servers) {
            discovery.add(each);
        }
        return new DiscoveryFixture(mode, discovery, servers, extraConfig);
    }

    /** Creates the stand-in for the discovery that a mode uses. */
    static DiscoveryStandIn createStandIn(DiscoveryMode mode) throws IOException {
        return mode == DiscoveryMode.PLAIN || mode == DiscoveryMode.PLATFORM
                ? new DiscoveryStandIn.Platform()
                : new DiscoveryStandIn.Nomad();
    }

    /** Returns the sidecar's extension in a mode. */
    static SidecarExtension extension(DiscoveryMode mode, String api, String extraConfig) {
        if (mode == DiscoveryMode.PLAIN) {
            return SidecarExtension.NONE;
        }
        ReadResult reading = OperatorFileKinds.all().read("test", """
                kind = "nomad"
                [nomad]
                enabled = true
                service = "episodes"
                agents = [%s]
                stream = %b
                back_off = "50 ms"
                longest_back_off = "300 ms"
                answer_within = "400 ms"
                start_spread = "100 ms"
                look_every = "100 ms"
                %s
                sources = ["%s"]
                confirm_after = "2 s"
                """.formatted(
                        '"' + api.replace(",", "\",\"") + '"',
                        mode != DiscoveryMode.QUERY_ONLY,
                        extraConfig.contains("[membership]") ? extraConfig : extraConfig + "\n[membership]",
                        mode == DiscoveryMode.PLATFORM ? "platform" : "nomad"));
        return new NomadExtension(reading.values()
                .orElseThrow(() -> new AssertionError(reading.problems().toString())));
    }

    private static Config config(DiscoveryStandIn discovery, List<BackendStandIn> knownServers) throws IOException {
        List<String> endpoints = knownServers.stream()
                .map(each -> SidecarFixture.endpointJson(each.id, each.address(), "active"))
                .toList();
        Path path = Files.createTempFile("nomad", ".json");
        path.toFile().deleteOnExit();
        Files.writeString(
                path,
                SidecarFixture.configJson(
                        discovery instanceof DiscoveryStandIn.Platform ? discovery.address() : "127.0.0.1:1",
                        256,
                        SidecarFixture.endpointUpdate(1, true, endpoints)));
        return Config.read(Map.of("GW_CONFIG", path.toString()));
    }

    /** Starts the clients; each sends one request after the other. */
    DiscoveryFixture startClients() {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(ScriptedServer.startDaemonThread(this::runClient));
        }
        return this;
    }

    private void runClient() throws Exception {
        while (!isStopped) {
            try (Socket client =
                    new Socket(sidecar.address().getAddress(), sidecar.address().getPort())) {
                client.setSoTimeout(3_000);
                int retries = 0;
                while (!isStopped || retries > 0) {
                    requests.addAndGet(retries == 0 ? 1 : 0);
                    String id = "t" + ids.incrementAndGet();
                    client.getOutputStream()
                            .write(("GET /list/k HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                                            + "\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                    String response = readResponse(client);
                    if (response.startsWith("HTTP/1.1 200")) {
                        served.incrementAndGet();
                        retries = 0;
                    } else if (response.startsWith("HTTP/1.1 503") && ++retries <= MAX_RETRIES) {
                        rejections.incrementAndGet();
                        Thread.sleep(RETRY_DELAY_MS);
                    } else {
                        System.out.println("request failed: " + response.replaceAll("\\s+", " "));
                        retries = 0;
                    }
                    Thread.sleep(3);
                    if (response.contains("onnection: close")) {
                        break;
                    }
                }
            }
        }
    }

    private static String readResponse(Socket client) throws IOException {
        ScriptedServer.Request response = ScriptedServer.readRequest(client.getInputStream());
        return response == null ? "connection: close" : response.head();
    }

    /** Stops the clients; returns how many of their requests were not answered with 200. */
    int stopAndCountFailedRequests() throws InterruptedException {
        isStopped = true;
        for (Thread each : clients) {
            each.join(4_000);
        }
        return requests.get() - served.get();
    }

    /** Returns the number of responses with 503 that were retried. */
    int rejections() {
        return rejections.get();
    }

    /** Returns the number of requests that clients sent, without retries. */
    int requests() {
        return requests.get();
    }

    @Override
    public void close() throws IOException {
        isStopped = true;
        sidecar.stop();
        discovery.close();
    }
}
