package peppergauge.lab.syscall;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import peppergauge.RealTimeTestBase;
import peppergauge.lab.flood.FloodRun;
import peppergauge.lab.flood.UsualClient;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.standin.BackendServer;
import peppergauge.lab.standin.DiscoveryStandIn;
import peppergauge.lab.standin.EndpointEntry;
import peppergauge.lab.wire.Loop;

/** Runs a sidecar whose standard error is a full pipe that nobody reads. */
public class StalledLogTest extends RealTimeTestBase {

    private static final long CLIENT_MS = 1_000;
    private static final int PIPE_BYTES = 65_536;

    /** A line about a lost watch kept the event loop once the pipe was full: nobody got a response any more. */
    @Test
    public void answersRequestsWhileNobodyReadsTheLog() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        String command = "{ head -c " + PIPE_BYTES + " /dev/zero >&2; exec " + java
                + " -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx64m -cp " + classPath
                + " peppergauge.Main serve; } 2>&1 >/dev/null | sleep 60";
        Loop loop = Loop.sleeping("servers");
        BackendServer server = new BackendServer(loop, new ClosingService(loop, ClosingService.newRuns()));
        DiscoveryStandIn discovery =
                new DiscoveryStandIn(loop, List.of(EndpointEntry.active("s0", server.address(), "z0")));
        loop.start();
        JsonMapper json = new JsonMapper();
        Map<String, Object> configuration = Map.of(
                "name",
                "n0",
                // Nobody listens there, so that each call is logged.
                "discovery",
                "127.0.0.1:1",
                "seed",
                "0000000000000001",
                "limits",
                Map.of("cores", 1, "memory_mb", 192, "sockets", 1_024),
                "known",
                json.readTree(discovery.list().json()),
                "settings",
                json.readTree(FloodRun.SETTINGS));
        try (SidecarProcess sidecar = new SidecarProcess(
                new SidecarProcess.Launch(Path.of("").toAbsolutePath(), command, -1, 1),
                SidecarProcess.freeAddress(),
                configuration)) {
            sidecar.awaitUp();
            UsualClient client = new UsualClient(sidecar.address(), "c", false, 1);
            client.start();
            Thread.sleep(CLIENT_MS);
            List<UsualClient.Exchange> exchanges = client.stop();
            long served = exchanges.stream()
                    .filter(exchange -> exchange.end() == UsualClient.End.SERVED)
                    .count();
            assertEquals(served, exchanges.size(), exchanges.toString());
        } finally {
            loop.close();
        }
    }
}
