package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A real process and real signals: unhandled, SIGHUP ends the program. */
public class ReloadTest {

    @Test
    public void onHangUpDiscoveryIsWatchedWhereTheFileSaysNowAndAnUnusableFileChangesNothing() throws Exception {
        Path file = Files.createTempFile("reload", ".json");
        try (Toy backend = Toy.saying(Toy.ok("body")); Toy other = Toy.saying(Toy.ok("other"));
                Toy first = watched(); Toy second = watched()) {
            write(file, first, backend);
            Process sidecar = start(file, first);
            try {
                int port = Integer.parseInt(sidecar.inputReader().readLine().replaceAll(".*:(\\d+) with.*", "$1"));
                Bed.await(() -> first.requests.size() == 1);
                write(file, second, backend);
                hangUp(sidecar);
                Bed.await(() -> second.requests.size() == 1);
                assertEquals(second.requests.get(0).line(), "GET /discovery/hosts?watch=1&from=0 HTTP/1.1");
                // Until the new one tells, the table stays; the old one's end must not bring it back.
                assertEquals(ask(port, "t1"), "body");
                first.connections.get(0).close();
                Files.writeString(file, "{ not a configuration");
                hangUp(sidecar);
                Thread.sleep(400);
                assertEquals(first.requests.size(), 1);
                assertEquals(second.requests.size(), 1);
                chunk(second.connections.get(0), Bed.table(other.address(), 2, true, "active") + "\n");
                Thread.sleep(100);
                assertEquals(ask(port, "t2"), "other");
                assertTrue(sidecar.isAlive());
            } finally {
                sidecar.destroyForcibly();
            }
        } finally {
            Files.delete(file);
        }
    }

    private static Toy watched() throws Exception {
        return Toy.saying("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    private static void chunk(Socket connection, String text) throws Exception {
        Toy.write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(Path file, Toy discovery, Toy backend) throws Exception {
        Files.writeString(file, Bed.config(discovery.address(), 256, Bed.table(backend.address(), 1, true, "active")));
    }

    private static Process start(Path file, Toy discovery) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + File.separator + "bin"
                + File.separator + "java", "-cp", System.getProperty("java.class.path"), "peppergauge.Main", "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("GW_DISCOVERY", discovery.address());
        return builder.redirectErrorStream(true).start();
    }

    private static void hangUp(Process process) throws Exception {
        assertTrue(new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start()
                .waitFor(5, TimeUnit.SECONDS));
    }

    private static String ask(int port, String id) throws Exception {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(5_000);
            return new String(Bed.ask(client, Bed.get(id, 900)).body());
        }
    }
}
