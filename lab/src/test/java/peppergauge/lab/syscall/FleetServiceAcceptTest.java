package peppergauge.lab.syscall;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.RealTimeTestBase;
import peppergauge.lab.callfault.CallFault;
import peppergauge.lab.callfault.Errno;
import peppergauge.lab.callfault.FailingCalls;
import peppergauge.lab.callfault.FaultTarget;
import peppergauge.lab.callfault.SystemCall;
import peppergauge.lab.process.SidecarProcess;

/** Lets an accept of the fleet service's process fail. */
public class FleetServiceAcceptTest extends RealTimeTestBase {

    private static final long MAX_START_NS = 30_000_000_000L;
    private static final int OK = 200;

    /** One failing accept ended the listener for good, while the process lived on and said nothing. */
    @Test
    public void answersAfterAnAcceptHasFailed() throws Exception {
        InetSocketAddress address = SidecarProcess.freeAddress();
        CallFault fault = new CallFault(SystemCall.ACCEPT, Errno.ENFILE, FaultTarget.ANY, 1, 1, 1);
        Path folder = Files.createTempDirectory("fleet");
        Path file = folder.resolve("fleet.toml");
        String listen = address.getHostString() + ":" + address.getPort();
        Files.writeString(file, """
                kind = "fleet"
                [service]
                site = "example"
                name = "fleet-1"
                number = 1
                listen = "%s"
                folder = "%s"
                """.formatted(listen, folder.resolve("state")));
        Process process = null;
        try (FailingCalls calls = new FailingCalls(List.of(fault))) {
            String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
            ProcessBuilder builder = new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp",
                    classPath,
                    "peppergauge.daemon.Daemon",
                    "daemon",
                    "--config",
                    file.toString());
            builder.environment().putAll(calls.environment(address.getPort()));
            Path log = folder.resolve("log");
            process = builder.redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            awaitStart(listen, process, log);
            calls.start(0);
            assertEquals(status(listen), OK);
            assertEquals(calls.failures(0), 1);
            assertEquals(status(listen), OK);
            assertTrue(Files.readString(log).contains("accept_failed"), Files.readString(log));
        } finally {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }
    }

    private static void awaitStart(String listen, Process process, Path log) throws Exception {
        long startNs = System.nanoTime();
        while (true) {
            try {
                status(listen);
                return;
            } catch (IOException refused) {
                if (!process.isAlive() || System.nanoTime() - startNs > MAX_START_NS) {
                    throw new IOException("the fleet service does not answer; its log: " + Files.readString(log));
                }
                Thread.sleep(20);
            }
        }
    }

    /** Asks on a new connection. */
    private static int status(String listen) throws IOException, InterruptedException {
        HttpClient client = HttpClient.newHttpClient();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + listen + "/fleet/v1/status"))
                .timeout(Duration.ofSeconds(3))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }
}
