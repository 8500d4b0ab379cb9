package peppergauge.lab.soak;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server in another zone that sends second copies of some responses late. Each direction of a connection
 * takes the link's delay; requests of one connection are processed in order. A copy is sent only if no byte of a
 * further request has arrived.
 */
final class DistantServer implements Closeable {

    /**
     * @param linkDelayMs delay in each direction
     * @param maxCopyDelayMs largest time from a response to its copy
     * @param copyShare share of the responses that are followed by a copy
     */
    record Behavior(double linkDelayMs, double maxCopyDelayMs, double copyShare) {}

    /** One attempt, as the server saw it. Times are by {@link System#nanoTime}; 0 stands for never. */
    static final class Attempt {

        final String requestId;
        final String server;
        final long receivedNs;
        volatile long startedNs;
        volatile long endedNs;
        volatile boolean rejected;

        Attempt(String requestId, String server, long receivedNs) {
            this.requestId = requestId;
            this.server = server;
            this.receivedNs = receivedNs;
        }

        /** Whether it ran, or may have run for all that its sender knows. */
        boolean mayHaveRun() {
            return startedNs != 0 && !rejected;
        }
    }

    private static final int MIN_WORK_MS = 25;
    private static final int WORK_SPREAD_MS = 40;
    private static final double REJECTED_SHARE = 0.1;
    private static final double ERROR_SHARE = 0.03;
    private static final String REJECTED =
            "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String ERROR = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

    private final String id;
    private final Behavior behavior;
    private final SplittableRandom random;
    private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final AtomicInteger copies = new AtomicInteger();

    DistantServer(String id, Behavior behavior, long seed) throws IOException {
        this.id = id;
        this.behavior = behavior;
        random = new SplittableRandom(seed);
        DaemonThreads.start("server " + id, this::accept);
    }

    String id() {
        return id;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    Queue<Attempt> attempts() {
        return attempts;
    }

    int copies() {
        return copies.get();
    }

    /** Returns the body of the response to a request. */
    static String body(String requestId) {
        return "response to " + requestId;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Connection connection = new Connection(socket);
            DaemonThreads.start("input of " + id, connection::read);
            DaemonThreads.start("work of " + id, connection::work);
            DaemonThreads.start("output of " + id, connection::write);
        }
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private long linkDelayNs() {
        return (long) (behavior.linkDelayMs() * 1e6);
    }

    private record Output(String text, long dueNs) {}

    /** One connection: a thread reads, one processes the requests in order, and one delays the output. */
    private final class Connection {

        private final Socket socket;
        private final BlockingQueue<Attempt> received = new LinkedBlockingQueue<>();
        private final BlockingQueue<Output> output = new LinkedBlockingQueue<>();
        private volatile Attempt current;
        private volatile long closedNs;

        Connection(Socket socket) {
            this.socket = socket;
        }

        private void read() throws IOException {
            try {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (String head = BlockingHttp.head(in); head != null; head = BlockingHttp.head(in)) {
                    BlockingHttp.body(in, head);
                    Attempt attempt =
                            new Attempt(BlockingHttp.header(head, "X-Txn"), id, System.nanoTime() + linkDelayNs());
                    attempts.add(attempt);
                    received.add(attempt);
                }
            } finally {
                closedNs = System.nanoTime() + linkDelayNs();
                received.forEach(attempt -> attempt.endedNs = closedNs);
                Attempt interrupted = current;
                if (interrupted != null && interrupted.endedNs == 0) {
                    interrupted.endedNs = closedNs;
                }
                BlockingHttp.close(socket);
            }
        }

        private void work() throws InterruptedException {
            while (true) {
                Attempt attempt = received.poll(1, TimeUnit.SECONDS);
                if (attempt == null) {
                    if (closedNs != 0) {
                        return;
                    }
                    continue;
                }
                DaemonThreads.sleepUntil(attempt.receivedNs);
                if (closedNs == 0 || closedNs > System.nanoTime()) {
                    current = attempt;
                    answer(attempt);
                }
            }
        }

        private void answer(Attempt attempt) throws InterruptedException {
            double outcome = draw();
            attempt.rejected = outcome < REJECTED_SHARE;
            attempt.startedNs = System.nanoTime();
            String response = REJECTED;
            if (!attempt.rejected) {
                Thread.sleep(MIN_WORK_MS + (long) (draw() * WORK_SPREAD_MS));
                String body = body(attempt.requestId);
                response = outcome < REJECTED_SHARE + ERROR_SHARE
                        ? ERROR
                        : "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            }
            send(response);
            attempt.endedNs = attempt.endedNs == 0 ? System.nanoTime() : attempt.endedNs;
            if (draw() < behavior.copyShare()) {
                Thread.sleep((long) (draw() * behavior.maxCopyDelayMs()));
                Attempt next = received.peek();
                if (next == null || next.receivedNs > System.nanoTime()) {
                    copies.incrementAndGet();
                    send(response);
                }
            }
        }

        private void send(String text) {
            output.add(new Output(text, System.nanoTime() + linkDelayNs()));
        }

        private void write() throws IOException, InterruptedException {
            while (closedNs == 0) {
                Output next = output.poll(1, TimeUnit.SECONDS);
                if (next != null) {
                    DaemonThreads.sleepUntil(next.dueNs());
                    BlockingHttp.write(socket, next.text());
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        sockets.forEach(BlockingHttp::close);
    }
}
