package peppergauge.cost;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The harness's parts against each other, without a sidecar; nothing here is measured. */
public class PartsTest {

    @Test
    public void theLoadIsAnsweredByTheStandInAndCounted() throws Exception {
        Delay delay = new Delay(10, false);
        Map<String, Object> settings = Example.settings(Example.read(Path.of("")));
        try (StandIns standIns = new StandIns(1, delay, "z", 1);
                Generator load = new Generator(standIns.address(0), new Scenario("t", 400, 40, delay), settings, 1)) {
            for (int i = 0; i < 20 || i < 1000 && standIns.counts().requests() < 50; i++) {
                TimeUnit.MILLISECONDS.sleep(25);
            }
            Tally tally = load.nextRound();
            assertEquals(tally.ends.keySet(), Set.of("200"));
            assertTrue(tally.requests() > 20 && tally.requests() <= standIns.counts().requests());
            assertTrue(tally.latencies.ms(0) >= 10, "an answer came before its delay was over");
            assertEquals(standIns.counts().connections(), 40);
        }
    }

    /** The decision module denies for servers that report less than it sees there. */
    @Test
    public void theStandInReportsWhatItHasInHand() throws Exception {
        Delay delay = new Delay(30_000, false);
        Map<String, Object> settings = Example.settings(Example.read(Path.of("")));
        try (StandIns standIns = new StandIns(1, delay, "z", 1);
                Generator load = new Generator(standIns.address(0), new Scenario("t", 0, 3, delay), settings, 1)) {
            for (int i = 0; i < 1000 && standIns.counts().requests() < 3; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            String answer = ask(standIns.address(0), "/metrics/load");
            assertTrue(answer.endsWith("\r\n\r\ninflight=3,queue=0,latency_ms=30000.0"), answer);
            assertEquals(load.nextRound().requests(), 0);
        }
    }

    @Test
    public void discoveryTellsTheTableAndKeepsTheWatchOpen() throws Exception {
        try (StandIns standIns = new StandIns(2, new Delay(0, false), "z", 1)) {
            String watch = ask(standIns.discovery(), "/discovery/hosts?watch=1&from=0");
            assertTrue(watch.contains("\r\nTransfer-Encoding: chunked\r\n"));
            assertTrue(watch.contains("\"addr\":\"" + StandIns.text(standIns.address(1)) + "\""), watch);
        }
    }

    @Test
    public void procAndTheDeployFileAreRead() throws Exception {
        assertEquals(Proc.parse("7 (a) b) S 1 7 7 0 -1 4194304 1 2 3 4 50 6 7 1 20 0"),
                new Proc.Stat("a) b", 560, 80));
        assertEquals(Deploy.run("build = \"b\"\nrun = \"exec a \\\"b\\\"\" # c\n"), "exec a \"b\"");
        assertTrue(Deploy.run(Path.of("")).startsWith("exec "), "without exec the shell would be measured too");
        Usage usage = Usage.of(ProcessHandle.current());
        assertTrue(usage.cpuMs() > 0 && usage.rssKb() > 0 && usage.threads().size() > 1);
    }

    /** What comes at once; the answers here are small and sent whole. */
    private static String ask(InetSocketAddress address, String path) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            byte[] bytes = new byte[8192];
            return new String(bytes, 0, socket.getInputStream().read(bytes), StandardCharsets.ISO_8859_1);
        }
    }
}
