package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import peppergauge.config.Config;
import peppergauge.request.IncomingRequest;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/** A process whose event loop has ended by an error can serve nobody, and must not look as if it had been stopped. */
public class EventLoopFailureTest extends RealTimeTestBase {

    private static final int EXIT_FAILED = 1;
    private static final long RESPONSE_DELAY_MS = 400;
    /** Far less than the 7 s after which such a process ended before, with exit code 0. */
    private static final long MAX_END_MS = 2_000;

    /** A program whose sidecar runs out of memory when its first client's request arrives. */
    static final class FailingProgram {

        private FailingProgram() {}

        public static void main(String[] args) throws Exception {
            Sidecar sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", args[0])), new SidecarExtension() {
                @Override
                public RequestHandler wrapRequestHandler(RequestDispatcher dispatcher, Context context) {
                    return new RequestHandler() {
                        @Override
                        public void handle(IncomingRequest request, ResponseListener listener) {
                            throw new OutOfMemoryError("thrown by a test");
                        }

                        @Override
                        public void cancel(String id, ResponseListener listener) {}
                    };
                }
            });
            sidecar.endProcessIfThreadFails();
            Runtime.getRuntime().addShutdownHook(new Thread(sidecar::shutDownGracefully, "graceful-shutdown"));
            sidecar.start();
        }
    }

    @Test
    public void processEndsAtOnceWithExitCodeOneAfterAnErrorOfTheEventLoop() throws Exception {
        Path config = Files.createTempFile("failing", ".json");
        try (ScriptedServer backend = new ScriptedServer(SidecarFixture.ECHO);
                ScriptedServer discovery = SidecarProcessFixture.discoveryServer()) {
            Files.writeString(
                    config,
                    SidecarFixture.configJson(
                            discovery.address(), 256, SidecarFixture.knownEndpoints(backend.address(), 4)));
            Process process = new ProcessBuilder(
                            System.getProperty("java.home") + "/bin/java",
                            "-cp",
                            System.getProperty("java.class.path"),
                            FailingProgram.class.getName(),
                            config.toString())
                    .redirectErrorStream(true)
                    .start();
            try {
                assertEndsWithFailure(process);
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.delete(config);
        }
    }

    /** A program whose listener's thread ends once it is ready. */
    static final class EndingListenerProgram {

        private EndingListenerProgram() {}

        @SuppressWarnings("deprecation")
        public static void main(String[] args) throws Exception {
            Sidecar sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", args[0])));
            sidecar.endProcessIfThreadFails();
            sidecar.start();
            System.in.read();
            for (Thread thread : Thread.getAllStackTraces().keySet()) {
                if (thread.getName().equals("listener")) {
                    thread.stop();
                }
            }
        }
    }

    /** A process whose listener had ended lived on and refused all clients; later, it cut off requests under way. */
    @Test
    public void processAnswersRequestsAndEndsWithExitCodeOneAfterTheEndOfTheListener() throws Exception {
        Path config = Files.createTempFile("failing", ".json");
        CountDownLatch requested = new CountDownLatch(1);
        try (ScriptedServer backend = new ScriptedServer((request, connection) -> {
                    requested.countDown();
                    Thread.sleep(RESPONSE_DELAY_MS);
                    ScriptedServer.write(connection, ScriptedServer.okResponse(request.header("X-Txn")));
                });
                ScriptedServer discovery = SidecarProcessFixture.discoveryServer()) {
            Files.writeString(
                    config,
                    SidecarFixture.configJson(
                            discovery.address(), 256, SidecarFixture.knownEndpoints(backend.address(), 4)));
            Process process = new ProcessBuilder(
                            System.getProperty("java.home") + "/bin/java",
                            "-cp",
                            System.getProperty("java.class.path"),
                            EndingListenerProgram.class.getName(),
                            config.toString())
                    .redirectErrorStream(true)
                    .start();
            try {
                URI address = startedAddress(process);
                try (Socket client = new Socket(address.getHost(), address.getPort())) {
                    client.setSoTimeout(8_000);
                    client.getOutputStream()
                            .write(SidecarFixture.get("open", 900).getBytes(StandardCharsets.ISO_8859_1));
                    requested.await();
                    process.getOutputStream().write('\n');
                    process.getOutputStream().flush();
                    SidecarFixture.assertResponseId(ScriptedServer.readRequest(client.getInputStream()), "open");
                }
                assertTrue(process.waitFor(10, TimeUnit.SECONDS), "the process goes on");
                assertEquals(process.exitValue(), EXIT_FAILED);
                assertTrue(process.inputReader().lines().anyMatch(line -> line.contains(" thread_failed ")));
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.delete(config);
        }
    }

    private static URI startedAddress(Process process) throws IOException {
        String started = process.inputReader().readLine();
        while (!started.contains(" sidecar_started ")) {
            started = process.inputReader().readLine();
        }
        return URI.create("http:/" + started.replaceAll(".* address=(\\S+) .*", "$1"));
    }

    private static void assertEndsWithFailure(Process process) throws IOException, InterruptedException {
        URI address = startedAddress(process);
        long sentNs;
        try (Socket client = new Socket(address.getHost(), address.getPort())) {
            client.setSoTimeout(8_000);
            sentNs = System.nanoTime();
            client.getOutputStream().write(SidecarFixture.get("last", 900).getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the process goes on");
        }
        double endMs = (System.nanoTime() - sentNs) / 1e6;
        assertEquals(process.exitValue(), EXIT_FAILED);
        assertTrue(endMs < MAX_END_MS, "ended after " + endMs + " ms");
        assertTrue(process.inputReader().lines().anyMatch(line -> line.contains(" event_loop_failed ")));
    }
}
