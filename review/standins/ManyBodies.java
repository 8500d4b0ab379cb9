import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Case: some clients send hundreds of requests at once, each with a body of 64 KiB, the protocol's maximum. */
final class ManyBodies {

    /** Connections of the bad clients; with the usual ones less than a third of the 1,024 descriptors. */
    private static final int CONNECTIONS = 333;
    /** Requests on each of them: 999 in all. */
    private static final int REQUESTS = 3;
    private static final int BURSTS = 8;
    private static final int BODY_BYTES = 64 * 1024;
    private static final int USUAL_CLIENTS = 6;
    private static final double WORK_MS = 80;

    private static final AtomicLong IDS = new AtomicLong();

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Kit.open(Path.of(args[1]));
        Path folder = Path.of(args[2]);
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 12; i++) {
            String id = "s-" + i;
            ServerSocket server = Kit.listen(id, connection -> serve(id, connection));
            entries.add(Kit.entry(id, server.getLocalPort(), "dongsan-north", "active"));
        }
        String list = Kit.list(1, true, entries);
        ServerSocket discovery = Kit.steadyDiscovery(list);
        int port = Kit.freePort();
        Process sidecar = Kit.startSidecar(root, folder, "n1",
                Kit.config("n1", port, discovery.getLocalPort(), list, Kit.settings(Kit.CLASSES)), port, discovery.getLocalPort());
        if (!Kit.awaitReady(port, 20_000)) {
            Kit.exit(2, "the sidecar did not become ready");
        }
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        double end = Kit.ms() + 30_000;
        Thread[] usual = new Thread[USUAL_CLIENTS];
        for (int c = 0; c < USUAL_CLIENTS; c++) {
            usual[c] = Kit.start("usual", () -> usualClient(port, end, answered, lost));
        }
        Kit.sleep(3000);
        AtomicInteger badAnswered = new AtomicInteger();
        for (int burst = 1; burst <= BURSTS && Kit.TROUBLE && sidecar.isAlive(); burst++) {
            Kit.log("burst", "number", burst, "connections", CONNECTIONS, "requests", CONNECTIONS * REQUESTS);
            burst(port, badAnswered);
            Kit.sleep(1000);
        }
        for (Thread client : usual) {
            client.join();
        }
        // A process that lives on and answers nobody has hung.
        boolean hung = sidecar.isAlive() && !Kit.awaitReady(port, 5000);
        boolean ended = !sidecar.isAlive();
        String text = "sidecar " + (ended ? "ended by itself with exit code " + sidecar.exitValue() : hung ? "hangs" : "runs") + ", usual requests answered "
                + answered + ", unanswered " + lost + "; answers to the burst " + badAnswered;
        java.nio.file.Files.lines(folder.resolve("n1.log")).filter(line -> line.contains("Error")).limit(3)
                .forEach(line -> Kit.log("sidecar_log", "line", line));
        if (!ended && !hung && answered.get() < 100) {
            Kit.exit(2, "too little was answered: " + text);
        }
        Kit.exit(ended || hung ? 1 : 0, text);
    }

    /** Asks one thing after the other, well spaced, on a connection that it keeps. */
    private static void usualClient(int port, double end, AtomicInteger answered, AtomicInteger lost) {
        Kit.Connection connection = null;
        while (Kit.ms() < end) {
            String txn = String.format("%016x", 0x5a00000000000000L + IDS.incrementAndGet());
            String request = "GET /episode-list/listener-" + IDS.get() % 300 + " HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn
                    + "\r\nX-Org: dongsan-fm\r\nX-Remaining-Ms: 800\r\n\r\n";
            Kit.Message answer = null;
            String error = "closed";
            for (int tries = 0; tries < 2 && answer == null; tries++) {
                try {
                    if (connection == null) {
                        connection = new Kit.Connection(port);
                        connection.socket.setSoTimeout(3000);
                    }
                    connection.send(request);
                    answer = connection.read();
                } catch (IOException failed) {
                    error = failed.toString();
                }
                if (connection != null && (answer == null || answer.header("connection").equals("close"))) {
                    connection.close();
                    connection = null;
                }
            }
            (answer == null ? lost : answered).incrementAndGet();
            Kit.log("usual", "txn", txn, "answer", answer == null ? "none (" + error + ")" : answer.status());
            Kit.sleep(100);
        }
    }

    /** Sends all requests at once and at full speed, as soon as all clients are connected. */
    private static void burst(int port, AtomicInteger answered) throws InterruptedException {
        CountDownLatch ready = new CountDownLatch(CONNECTIONS);
        Thread[] clients = new Thread[CONNECTIONS];
        for (int c = 0; c < CONNECTIONS; c++) {
            clients[c] = Kit.start("bad", () -> {
                try (Kit.Connection connection = new Kit.Connection(port)) {
                    connection.socket.setSoTimeout(6000);
                    ready.countDown();
                    ready.await(2, TimeUnit.SECONDS);
                    Kit.start("bad-writer", () -> {
                        for (int i = 0; i < REQUESTS; i++) {
                            connection.send(donation());
                        }
                    });
                    for (int i = 0; i < REQUESTS; i++) {
                        Kit.Message answer = connection.read();
                        Kit.log("bad", "answer", answer == null ? "none" : answer.status());
                        if (answer == null) {
                            return;
                        }
                        answered.incrementAndGet();
                    }
                }
            });
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private static byte[] donation() {
        String head = "POST /donation/listener-1 HTTP/1.1\r\nHost: api.internal\r\nX-Txn: "
                + String.format("%016x", 0x5b00000000000000L + IDS.incrementAndGet())
                + "\r\nX-Org: dongsan-fm\r\nX-Remaining-Ms: 1500\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        byte[] bytes = Arrays.copyOf(head.getBytes(StandardCharsets.ISO_8859_1), head.length() + BODY_BYTES);
        Arrays.fill(bytes, head.length(), bytes.length, (byte) 'x');
        return bytes;
    }

    private static void serve(String id, Kit.Connection connection) throws IOException {
        for (Kit.Message request = connection.read(); request != null; request = connection.read()) {
            Kit.log("request", "server", id, "txn", request.header("x-txn"));
            Kit.sleep(WORK_MS);
            connection.send(Kit.response(200, "X-Pressure: inflight=1,queue=0,latency_ms=" + (int) WORK_MS + "\r\n",
                    "done " + request.header("x-txn") + "\n"));
        }
    }
}
