package peppergauge.lab.flood;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.lab.soak.BlockingHttp;
import peppergauge.lab.soak.DaemonThreads;

/** A client as the protocol page describes it: one request at a time, on a connection that it keeps or opens anew. */
public final class UsualClient {

    /** How long a request's client waits, as it announces. */
    public static final int DEADLINE_MS = 1_000;

    private static final int CONNECT_TIMEOUT_MS = 3_000;
    /** Longer than the sidecar may take, so that the record shows by how much it was late. */
    private static final int READ_TIMEOUT_MS = 3_000;

    private static final int MIN_PAUSE_MS = 10;
    private static final int PAUSE_SPREAD_MS = 20;

    /** How a request ended. */
    public enum End {
        SERVED,
        REJECTED,
        FAILED,
        /** The connection was closed without a response, or could not be opened. */
        CLOSED,
        /** No response came while the client waited. */
        UNANSWERED
    }

    /** A request, as its client saw it; {@code tookMs} counts from its last byte. */
    public record Exchange(String id, End end, double tookMs, String status) {}

    private final InetSocketAddress sidecar;
    private final boolean keepsConnection;
    private final String name;
    private final SplittableRandom random;
    private final List<Exchange> exchanges = Collections.synchronizedList(new ArrayList<>());
    private Socket socket;
    private volatile boolean stopped;
    private Thread thread;

    /** Creates a client that does not send yet. */
    public UsualClient(InetSocketAddress sidecar, String name, boolean keepsConnection, long seed) {
        this.sidecar = sidecar;
        this.name = name;
        this.keepsConnection = keepsConnection;
        random = new SplittableRandom(seed);
    }

    /** Starts to send. */
    public void start() {
        thread = DaemonThreads.start(name, this::run);
    }

    /** Stops after the request that is open. */
    public List<Exchange> stop() throws InterruptedException {
        stopped = true;
        thread.join();
        return List.copyOf(exchanges);
    }

    private void run() throws InterruptedException {
        for (int number = 0; !stopped; number++) {
            String id = name + "-" + number;
            boolean reused = socket != null;
            Exchange exchange = exchange(id);
            if (exchange.end() == End.CLOSED && reused) {
                // The end of the connection crossed the request, which is sent once more on a new one.
                exchange = exchange(id + "-again");
            }
            exchanges.add(exchange);
            Thread.sleep(MIN_PAUSE_MS + random.nextInt(PAUSE_SPREAD_MS));
        }
        close();
    }

    private Exchange exchange(String id) {
        long sentNs = System.nanoTime();
        try {
            connect();
            boolean unsafe = random.nextBoolean();
            BlockingHttp.write(
                    socket,
                    (unsafe ? "POST /pay" : "GET /read") + "/usual HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                            + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + DEADLINE_MS + "\r\n"
                            + (unsafe ? "Content-Length: 2\r\n\r\nok" : "\r\n"));
            sentNs = System.nanoTime();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = BlockingHttp.head(in);
            if (head == null) {
                throw new IOException("closed before a response");
            }
            BlockingHttp.body(in, head);
            String status = head.split(" ")[1];
            if (!keepsConnection || "close".equalsIgnoreCase(BlockingHttp.header(head, "Connection"))) {
                close();
            }
            return new Exchange(id, end(status), tookMs(sentNs), status);
        } catch (SocketTimeoutException late) {
            close();
            return new Exchange(id, End.UNANSWERED, tookMs(sentNs), late.getMessage());
        } catch (IOException closed) {
            close();
            return new Exchange(id, End.CLOSED, tookMs(sentNs), closed.getMessage());
        }
    }

    private void connect() throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.connect(sidecar, CONNECT_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
        }
    }

    private void close() {
        if (socket != null) {
            BlockingHttp.close(socket);
            socket = null;
        }
    }

    private static double tookMs(long sentNs) {
        return (System.nanoTime() - sentNs) / 1e6;
    }

    private static End end(String status) {
        return switch (status) {
            case "200" -> End.SERVED;
            case "429", "503" -> End.REJECTED;
            default -> End.FAILED;
        };
    }
}
