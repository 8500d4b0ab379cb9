package peppergauge.lab.nomad;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.ScriptedServer;

/** Checks that the stand-in behaves as Nomad's API documentation describes, since other tests rely on it. */
public class NomadStandInTest {

    private static String get(NomadStandIn api, String target, int maxBytes) throws IOException {
        try (Socket socket =
                new Socket("127.0.0.1", Integer.parseInt(api.address().split(":")[1]))) {
            socket.getOutputStream()
                    .write(("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(maxBytes), StandardCharsets.UTF_8);
        }
    }

    @Test
    public void blockingQueryReturnsAtChangeOrAfterWait() throws Exception {
        Cluster cluster = new Cluster();
        try (NomadStandIn api = new NomadStandIn(cluster, 100)) {
            new StandInScript("0 node n1 dc1\n0 run a1 n1 episodes 127.0.0.1:81 zone=z0 # first").run(cluster, api);
            String first = get(api, "/v1/service/episodes", 100_000);
            assertTrue(first.contains("\"ID\":\"a1\"") && first.contains("\"Tags\":[\"zone=z0\"]"), first);
            long index = Long.parseLong(first.replaceAll("(?s).*X-Nomad-Index: (\\d+).*", "$1"));
            String blocking = "/v1/service/episodes?index=" + index + "&wait=";
            long startedNs = System.nanoTime();
            assertTrue(get(api, blocking + "300ms", 100_000).contains("X-Nomad-Index: " + index));
            assertTrue(System.nanoTime() - startedNs >= 290_000_000L);
            ScriptedServer.startDaemonThread(() -> new StandInScript("100 stop a1").run(cluster, api));
            String changed = get(api, blocking + "5000ms", 100_000);
            assertTrue(changed.endsWith("[]") && !changed.contains("X-Nomad-Index: " + index + "\r"), changed);
        }
    }

    @Test
    public void streamSendsEventsFromIndexAndHeartbeats() throws Exception {
        Cluster cluster = new Cluster();
        try (NomadStandIn api = new NomadStandIn(cluster, 50)) {
            new StandInScript("0 node n1 dc1\n0 run a1 n1 episodes 127.0.0.1:81").run(cluster, api);
            String events = get(api, "/v1/event/stream?index=1&topic=Service:episodes&topic=Node", 900);
            assertTrue(
                    events.contains("ServiceRegistration")
                            && events.contains("NodeRegistration")
                            && !events.contains("AllocationCreated")
                            && events.contains("{}\n"),
                    events);
        }
    }

    @DataProvider
    public Object[][] invalidLines() {
        return new Object[][] {{"x node n1"}, {"1 node"}, {"1 dance n1"}, {"1 fault weather"}};
    }

    @Test(dataProvider = "invalidLines", expectedExceptions = IllegalArgumentException.class)
    public void rejectsInvalidScriptLine(String line) throws Exception {
        Cluster cluster = new Cluster();
        try (NomadStandIn api = new NomadStandIn(cluster, 50)) {
            new StandInScript(line).run(cluster, api);
        }
    }

    @Test
    public void writesEscapedJson() {
        assertEquals(
                JsonText.of(List.of(1, true, "a\"\\", java.util.Map.of("k", List.of()))),
                "[1,true,\"a\\\"\\\\\",{\"k\":[]}]");
    }
}
