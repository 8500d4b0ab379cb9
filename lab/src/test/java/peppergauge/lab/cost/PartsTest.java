package peppergauge.lab.cost;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import peppergauge.ScriptedServer;
import peppergauge.lab.load.Generator;
import peppergauge.lab.load.Tally;
import peppergauge.lab.process.DeploymentFile;
import peppergauge.lab.process.ProcFiles;
import peppergauge.lab.process.Usage;
import peppergauge.lab.standin.Delay;
import peppergauge.lab.wire.Loop;

/** Tests the load generator, the stand-ins and the readers of /proc together, without a sidecar. */
public class PartsTest {

    private static Generator startLoad(Loop loop, StandIns standIns, LoadProfile scenario) throws Exception {
        Generator load = new Generator(
                loop,
                standIns.address(0),
                scenario.shape(),
                new ExampleRequests(ExampleConfig.settings(ExampleConfig.read(Path.of(".."))), scenario.ratePerS(), 1));
        loop.start();
        return load;
    }

    @Test
    public void standInAnswersLoadAndCountsRequests() throws Exception {
        Delay delay = new Delay(10, false);
        try (StandIns standIns = new StandIns(1, delay, "z", 1);
                Loop loop = new Loop("load")) {
            Generator load = startLoad(loop, standIns, new LoadProfile("t", 400, 40, delay));
            for (int i = 0; i < 20 || i < 1000 && standIns.counts().requests() < 50; i++) {
                TimeUnit.MILLISECONDS.sleep(25);
            }
            Tally tally = load.nextRound();
            assertEquals(tally.ends().keySet(), Set.of("200"));
            assertTrue(tally.requests() > 20
                    && tally.requests() <= standIns.counts().requests());
            assertTrue(tally.latencyMs(0) >= 9.9, "no response before its delay");
            assertEquals(standIns.counts().connections(), 40);
        }
    }

    /** The decision module rejects requests if servers report fewer requests in flight than it has sent them. */
    @Test
    public void standInReportsRequestsInFlight() throws Exception {
        Delay delay = new Delay(30_000, false);
        try (StandIns standIns = new StandIns(1, delay, "z", 1);
                Loop loop = new Loop("load")) {
            Generator load = startLoad(loop, standIns, new LoadProfile("t", 0, 3, delay));
            for (int i = 0; i < 1000 && standIns.counts().requests() < 3; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            assertEquals(
                    new String(exchange(standIns.address(0), "/metrics/load").body()),
                    "inflight=3,queue=0,latency_ms=30000.0");
            assertEquals(load.nextRound().requests(), 0);
        }
    }

    @Test
    public void parsesProcStatAndDeployFile() throws Exception {
        assertEquals(
                ProcFiles.parse("7 (a) b) S 1 7 7 0 -1 4194304 1 2 3 4 50 6 7 1 20 0"),
                new ProcFiles.Stat("a) b", 560, 80));
        assertEquals(DeploymentFile.run("build = \"b\"\nrun = \"exec a \\\"b\\\"\" # c\n"), "exec a \"b\"");
        assertTrue(
                DeploymentFile.run(Path.of("..")).startsWith("exec "),
                "the run line should start with exec, since the shell would be measured otherwise");
        assertEquals(DeploymentFile.checked("exec java -jar java.jar"), "exec java -ea:peppergauge... -jar java.jar");
        Usage usage = Usage.of(ProcessHandle.current());
        assertTrue(usage.cpuMs() > 0 && usage.rssKb() > 0 && usage.threads().size() > 1);
    }

    private static ScriptedServer.Request exchange(InetSocketAddress address, String path) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(5_000);
            ScriptedServer.write(socket, "GET " + path + " HTTP/1.1\r\n\r\n");
            return ScriptedServer.readRequest(socket.getInputStream());
        }
    }
}
