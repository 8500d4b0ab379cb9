package peppergauge.daemon.startup;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.ScriptedServer;
import peppergauge.Sidecar;
import peppergauge.coldstart.ReadinessPolicy;
import peppergauge.coldstart.SharedServicePollPolicy;
import peppergauge.config.Config;

/** Runs a sidecar on real sockets with the extension of {@code [start]}. */
public class StartupExtensionTest {

    private static final String SETTINGS = "{\"balancers\":1,\"me\":0,\"zone\":0,\"areas\":[\"z0\"],\"tickMs\":5,"
            + "\"overShareWorth\":1,\"registryMode\":\"automatic\",\"limits\":{\"connIdleMs\":800,"
            + "\"connectTimeoutMs\":9000,\"mostTries\":2},\"profiles\":[{\"name\":\"list\",\"aimMs\":20000,"
            + "\"deadlineMs\":60000,\"worth\":1,\"lateWorth\":0.3,\"effect\":\"idempotent\"}],\"report\":{\"how\":"
            + "\"silent\",\"names\":[]},\"rules\":{\"coldShare\":0.3,\"coldMs\":100,\"tipMultiple\":2.5,"
            + "\"fallMs\":3000},\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":1000}]}";

    private static String list(String servers) {
        return "{\"version\":1,\"full\":true,\"servers\":[" + servers + "]}";
    }

    private static String row(ScriptedServer server) {
        return "{\"id\":\"s\",\"addr\":\"" + server.address() + "\",\"zone\":\"z0\",\"state\":\"active\"}";
    }

    private static String watchResponse(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length() + 1) + "\r\n"
                + line + "\n\r\n";
    }

    @DataProvider
    public Object[][] starts() {
        // Whether the configuration has servers, what discovery responds, minimum time until the sidecar is ready.
        return new Object[][] {
            {true, "servers", 0}, {false, "servers", 0}, {true, "empty", 400}, {false, "empty", 800},
        };
    }

    /**
     * A sidecar is ready when discovery lists servers. Otherwise it is ready after the first timeout if its
     * configuration has servers, and after the second if not. An empty list of discovery does not make it ready.
     */
    @Test(dataProvider = "starts")
    public void isReadyOnListWithServersOrAfterTimeout(boolean known, String discovered, int minMs) throws Exception {
        boolean hasServers = discovered.equals("servers");
        Path file = Files.createTempFile("start", ".json");
        try (ScriptedServer backend = ScriptedServer.respondingWith(ScriptedServer.okResponse("body"));
                ScriptedServer discovery =
                        ScriptedServer.respondingWith(watchResponse(list(hasServers ? row(backend) : "")))) {
            Files.writeString(
                    file,
                    "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                            + discovery.address()
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":256},\"known\":"
                            + list(known ? row(backend) : "") + ",\"settings\":" + SETTINGS + "}");
            StartupExtension start = new StartupExtension(
                    new SharedServicePollPolicy.Config(1_000, 0, 30_000, 30_000, 60_000, 30_000),
                    hasServers ? new ReadinessPolicy(60_000, 60_000) : new ReadinessPolicy(400, 800));
            Sidecar sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", file.toString())), start);
            long startNanos = System.nanoTime();
            sidecar.start();
            double startMs = (System.nanoTime() - startNanos) / 1e6;
            assertTrue(startMs >= minMs && startMs < 60_000, "ready after " + startMs + " ms");
            assertEquals(discovery.requests.size(), 1);
            if (hasServers) {
                try (Socket client = new Socket(
                        sidecar.address().getAddress(), sidecar.address().getPort())) {
                    ScriptedServer.write(
                            client,
                            "GET /list/k HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\nX-Org: acme\r\n"
                                    + "X-Remaining-Ms: 50000\r\n\r\n");
                    assertTrue(ScriptedServer.readRequest(client.getInputStream())
                            .line()
                            .contains(" 200 "));
                }
            }
            sidecar.stop();
        }
        Files.delete(file);
    }
}
