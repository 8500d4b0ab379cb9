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

/** {@code [start]} round a sidecar on real sockets. */
public class StartupSectionTest {

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

    private static String answer(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length() + 1) + "\r\n"
                + line + "\n\r\n";
    }

    @DataProvider
    public Object[][] starts() {
        // Known from before, told by discovery at once, ready only once it has waited for so long.
        return new Object[][] {
            {true, "told", 0}, {false, "told", 0}, {true, "empty", 400}, {false, "empty", 800},
        };
    }

    /** Its own list counts after its patience; with none it waits on. An empty list is not what it waits for. */
    @Test(dataProvider = "starts")
    public void itIsReadyByNewsThatNamesServersOrByItsPatience(boolean known, String told, int leastMs)
            throws Exception {
        Path file = Files.createTempFile("start", ".json");
        try (ScriptedServer backend = ScriptedServer.respondingWith(ScriptedServer.okResponse("body"));
                ScriptedServer discovery = ScriptedServer.respondingWith(
                        answer(list(told.equals("told") ? row(backend) : "")))) {
            Files.writeString(
                    file,
                    "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                            + discovery.address()
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":256},\"known\":"
                            + list(known ? row(backend) : "") + ",\"settings\":" + SETTINGS + "}");
            StartupExtension start = new StartupExtension(
                    new SharedServicePollPolicy.Config(1_000, 0, 30_000, 30_000, 60_000, 30_000),
                    told.equals("told") ? new ReadinessPolicy(60_000, 60_000) : new ReadinessPolicy(400, 800));
            Sidecar sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", file.toString())), start);
            long beganNs = System.nanoTime();
            sidecar.start();
            double tookMs = (System.nanoTime() - beganNs) / 1e6;
            assertTrue(tookMs >= leastMs && tookMs < 60_000, "ready after " + tookMs + " ms");
            assertEquals(discovery.requests.size(), 1);
            if (told.equals("told")) {
                try (Socket client = new Socket(
                        sidecar.address().getAddress(), sidecar.address().getPort())) {
                    ScriptedServer.write(
                            client,
                            "GET /list/k HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\nX-Org: acme\r\n"
                                    + "X-Remaining-Ms: 50000\r\n\r\n");
                    assertTrue(ScriptedServer.readRequest(client.getInputStream()).line().contains(" 200 "));
                }
            }
            sidecar.stop();
        }
        Files.delete(file);
    }
}
