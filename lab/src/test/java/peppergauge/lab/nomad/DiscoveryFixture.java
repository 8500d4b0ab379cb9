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
import peppergauge.lab.files.Kinds;
import peppergauge.nomad.NomadExtension;
import peppergauge.operator.Reading;

/** A sidecar between backend stand-ins, clients that never pause, and whoever tells of the servers. */
final class NomadBed implements Closeable {

    /** How the sidecar hears of its servers. */
    enum Way {
        PLAIN,
        PLATFORM,
        NOMAD,
        QUERY_ONLY
    }

    private static final int CLIENTS = 3;
    /** A denial is harmless: a client asks again after 30 ms, for some time; a busy machine denies now and then. */
    private static final int RETRIES = 20;

    final Told told;
    final Told.ByNomad nomad;
    final Sidecar sidecar;
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger denied = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean over;
    private final List<Thread> clients = new ArrayList<>();

    /** @param known servers of the configuration */
    NomadBed(Way way, Told told, List<BackendStandIn> known, String more) throws Exception {
        this.told = told;
        nomad = told instanceof Told.ByNomad by ? by : null;
        sidecar = new Sidecar(config(told, known), addition(way, told.address(), more));
        sidecar.start();
    }

    static NomadBed of(Way way, List<BackendStandIn> servers, String more) throws Exception {
        Told told = way == Way.PLAIN || way == Way.PLATFORM ? new Told.ByPlatform() : new Told.ByNomad();
        for (BackendStandIn each : servers) {
            told.add(each);
        }
        return new NomadBed(way, told, servers, more);
    }

    static SidecarExtension addition(Way way, String api, String more) {
        if (way == Way.PLAIN) {
            return SidecarExtension.NONE;
        }
        Reading reading = Kinds.all().read("test", """
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
                        way != Way.QUERY_ONLY,
                        more.contains("[membership]") ? more : more + "\n[membership]",
                        way == Way.PLATFORM ? "platform" : "nomad"));
        return new NomadExtension(reading.values()
                .orElseThrow(() -> new AssertionError(reading.problems().toString())));
    }

    private static Config config(Told told, List<BackendStandIn> known) throws IOException {
        List<String> rows = known.stream()
                .map(each -> SidecarFixture.endpointJson(each.id, each.address(), "active"))
                .toList();
        Path path = Files.createTempFile("nomad", ".json");
        path.toFile().deleteOnExit();
        Files.writeString(
                path,
                SidecarFixture.configJson(
                        told instanceof Told.ByPlatform ? told.address() : "127.0.0.1:1",
                        256,
                        SidecarFixture.endpointUpdate(1, true, rows)));
        return Config.read(Map.of("GW_CONFIG", path.toString()));
    }

    /** From now on clients ask, each one request after the other. */
    NomadBed ask() {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(ScriptedServer.startDaemonThread(this::client));
        }
        return this;
    }

    private void client() throws Exception {
        while (!over) {
            try (Socket client =
                    new Socket(sidecar.address().getAddress(), sidecar.address().getPort())) {
                client.setSoTimeout(3_000);
                int tries = 0;
                while (!over || tries > 0) {
                    asked.addAndGet(tries == 0 ? 1 : 0);
                    String id = "t" + ids.incrementAndGet();
                    client.getOutputStream()
                            .write(("GET /list/k HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                                            + "\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                    String answer = answer(client);
                    if (answer.startsWith("HTTP/1.1 200")) {
                        served.incrementAndGet();
                        tries = 0;
                    } else if (answer.startsWith("HTTP/1.1 503") && ++tries <= RETRIES) {
                        denied.incrementAndGet();
                        Thread.sleep(30);
                    } else {
                        System.out.println("unserved: " + answer.replaceAll("\\s+", " "));
                        tries = 0;
                    }
                    Thread.sleep(3);
                    if (answer.contains("onnection: close")) {
                        break;
                    }
                }
            }
        }
    }

    private static String answer(Socket client) throws IOException {
        ScriptedServer.Request answer = ScriptedServer.readRequest(client.getInputStream());
        return answer == null ? "connection: close" : answer.head();
    }

    /** Ends the clients; how many of their requests were not served. */
    int unserved() throws InterruptedException {
        over = true;
        for (Thread each : clients) {
            each.join(4_000);
        }
        return asked.get() - served.get();
    }

    /** Answers that nothing ran and trying again is harmless. */
    int denied() {
        return denied.get();
    }

    int asked() {
        return asked.get();
    }

    @Override
    public void close() throws IOException {
        over = true;
        sidecar.stop();
        told.close();
    }
}
