import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Case: an episode server in another zone sends a second copy of some answers a few milliseconds late. */
final class SecondAnswer {

    /** One way between two data centres: the brief and the site say 9.5 to 19 ms. */
    private static final double ONE_WAY_MS = 12;
    /** How late the second copy of an answer is sent: "some milliseconds late". */
    private static final double LATE_MS = 5;
    private static final int ONE_IN = 50;
    private static final double WORK_MS = 10;
    private static final double RUN_MS = 30_000;
    private static final int CLIENTS = 6;

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Kit.open(Path.of(args[1]));
        Path folder = Path.of(args[2]);
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger copies = new AtomicInteger();
        int[] ports = new int[4];
        for (int i = 0; i < ports.length; i++) {
            String id = "s-" + (i + 1);
            ServerSocket server = Kit.listen(id, connection -> serve(id, connection, answers, copies));
            ports[i] = link(id, server.getLocalPort()).getLocalPort();
        }
        String list = Kit.list(1, true, List.of(
                Kit.entry("s-1", ports[0], "hanul-bay", "active"), Kit.entry("s-2", ports[1], "hanul-bay", "active"),
                Kit.entry("s-3", ports[2], "hanul-bay", "active"), Kit.entry("s-4", ports[3], "hanul-bay", "active")));
        ServerSocket discovery = Kit.steadyDiscovery(list);
        int port = Kit.freePort();
        Process sidecar = Kit.startSidecar(root, folder, "n1",
                Kit.config("n1", port, discovery.getLocalPort(), list, Kit.settings(Kit.CLASSES)), port, discovery.getLocalPort());
        if (!Kit.awaitReady(port, 20_000)) {
            Kit.exit(2, "the sidecar did not become ready");
        }
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        AtomicLong ids = new AtomicLong();
        double end = Kit.ms() + RUN_MS;
        Thread[] clients = new Thread[CLIENTS];
        for (int c = 0; c < CLIENTS; c++) {
            clients[c] = Kit.start("client", () -> {
                Kit.Connection connection = null;
                while (Kit.ms() < end) {
                    long number = ids.incrementAndGet();
                    String txn = String.format("%016x", 0x5a00000000000000L + number);
                    String path = "/episode-list/listener-" + number % 300;
                    String request = "GET " + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn
                            + "\r\nX-Org: dongsan-fm\r\nX-Remaining-Ms: 800\r\n\r\n";
                    Kit.Message answer = null;
                    for (int tries = 0; tries < 2 && answer == null; tries++) {
                        try {
                            if (connection == null) {
                                connection = new Kit.Connection(port);
                            }
                            connection.send(request);
                            answer = connection.read();
                        } catch (IOException closed) {
                            // A close that crossed the request: once more on a new connection.
                        }
                        if (answer == null || answer.header("connection").equals("close")) {
                            connection.close();
                            connection = null;
                        }
                    }
                    if (answer == null) {
                        Kit.log("no_answer", "txn", txn);
                        other.incrementAndGet();
                    } else if (answer.status() != 200) {
                        Kit.log("answer", "txn", txn, "status", answer.status());
                        other.incrementAndGet();
                    } else if (!answer.text().equals(body(path, txn))) {
                        foreign.incrementAndGet();
                        Kit.log("FOREIGN", "txn", txn, "sent", path, "got", answer.text().trim());
                    } else {
                        served.incrementAndGet();
                        Kit.log("served", "txn", txn);
                    }
                }
            });
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.log("counts", "answers", answers, "second_copies", copies, "served", served, "foreign", foreign, "other", other);
        String text = "foreign answers " + foreign + " of " + ids + ", second copies sent " + copies + ", served " + served + ", other " + other;
        if (!sidecar.isAlive() || served.get() < 500 || Kit.TROUBLE && copies.get() == 0) {
            Kit.exit(2, "too little was served: " + text);
        }
        Kit.exit(foreign.get() > 0 ? 1 : 0, text);
    }

    private static String body(String path, String txn) {
        return "episodes for " + path + " asked by " + txn + "\n";
    }

    /** A sound server, but for the second copies. */
    private static void serve(String id, Kit.Connection connection, AtomicInteger answers, AtomicInteger copies)
            throws IOException {
        for (Kit.Message request = connection.read(); request != null; request = connection.read()) {
            String txn = request.header("x-txn");
            Kit.log("request", "server", id, "txn", txn);
            Kit.sleep(WORK_MS);
            String answer = Kit.response(200, "X-Pressure: inflight=1,queue=0,latency_ms=" + (int) WORK_MS + "\r\n",
                    body(request.path(), txn));
            connection.send(answer);
            if (answers.incrementAndGet() % ONE_IN == 0 && Kit.TROUBLE) {
                Kit.sleep(LATE_MS);
                if (connection.in.available() == 0) {
                    // Nothing else waits on the connection: no byte of a further request has arrived.
                    connection.send(answer);
                    copies.incrementAndGet();
                    Kit.log("second_copy", "server", id, "txn", txn);
                }
            }
        }
    }

    /** A link between two data centres: passes bytes on in order, each {@link #ONE_WAY_MS} after it came. */
    private static ServerSocket link(String id, int serverPort) throws IOException {
        return Kit.listen("link-" + id, near -> {
            try (Socket far = new Socket()) {
                far.connect(new InetSocketAddress(Kit.LOOPBACK, serverPort));
                far.setTcpNoDelay(true);
                Kit.Connection farSide = new Kit.Connection(far);
                Thread back = pass(farSide, near);
                Thread forth = pass(near, farSide);
                forth.join();
                back.join();
            }
        });
    }

    private record Part(double dueMs, byte[] bytes) {}

    private static Thread pass(Kit.Connection from, Kit.Connection to) {
        BlockingQueue<Part> parts = new LinkedBlockingQueue<>();
        Kit.start("link-in", () -> {
            byte[] buffer = new byte[65536];
            try {
                for (int n = from.socket.getInputStream().read(buffer); n > 0; n = from.socket.getInputStream().read(buffer)) {
                    parts.add(new Part(Kit.ms() + ONE_WAY_MS, java.util.Arrays.copyOf(buffer, n)));
                }
            } catch (IOException ended) {
                // Passed on as the end.
            }
            parts.add(new Part(Kit.ms() + ONE_WAY_MS, null));
        });
        return Kit.start("link-out", () -> {
            for (Part part = parts.take(); ; part = parts.take()) {
                Kit.sleep(Math.max(0, part.dueMs() - Kit.ms()));
                if (part.bytes() == null) {
                    to.socket.shutdownOutput();
                    return;
                }
                to.socket.getOutputStream().write(part.bytes());
            }
        });
    }
}
