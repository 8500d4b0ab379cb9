package peppergauge.lab.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The application of the sidecar, with one thread per client. Clients send whole requests, split and pipelined requests
 * and requests with a short deadline, disconnect early, and idle so that a request coincides with the end of their
 * connection. After SIGTERM they continue on every connection that stays open, and open new ones for 0.3 s.
 */
final class SoakClients {

    private static final int CLIENTS = 12;
    private static final double SAFE_DEADLINE_MS = 900;
    private static final double UNSAFE_DEADLINE_MS = 1_400;
    private static final int MIN_SHORT_DEADLINE_MS = 2;
    private static final int SHORT_DEADLINE_SPREAD_MS = 60;
    /**
     * Clients wait longer than the deadline that they announce, so that the record contains when a late response came.
     */
    private static final int EXTRA_WAIT_MS = 1_500;

    private static final int CONNECT_MS = 1_000;
    private static final long CONNECT_AFTER_TERMINATION_NS = 300_000_000L;
    private static final int MAX_THINK_MS = 80;
    private static final int MAX_DISCONNECT_DELAY_MS = 120;
    private static final int MAX_GAP_MS = 30;
    /** The sidecar closes idle connections this long after SIGTERM; some requests are sent around that time. */
    private static final int IDLE_END_MS = 700;

    private static final int IDLE_END_SPREAD_MS = 15;
    /** Other requests are sent later, while the sidecar waits for its clients to close their side. */
    private static final int AFTER_IDLE_END_MS = 400;

    private static final double UNSAFE_SHARE = 0.4;
    private static final double SHORT_DEADLINE_SHARE = 0.06;
    private static final double SPLIT_SHARE = 0.1;
    private static final double PIPELINED_SHARE = 0.08;
    private static final double DISCONNECT_SHARE = 0.05;
    private static final double CLOSE_SHARE = 0.02;

    private final InetSocketAddress sidecar;
    private final RunRecord runRecord;
    private final long seed;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean quiet;
    private volatile boolean allIdle;
    private volatile boolean stopped;
    private volatile long terminatedNs;

    SoakClients(InetSocketAddress sidecar, RunRecord runRecord, long seed) {
        this.sidecar = sidecar;
        this.runRecord = runRecord;
        this.seed = seed;
    }

    void start() {
        for (int number = 0; number < CLIENTS; number++) {
            Client client = new Client(number);
            threads.add(DaemonThreads.start("client " + number, client::run));
        }
    }

    void setQuiet(boolean quiet) {
        this.quiet = quiet;
    }

    /**
     * Notifies the clients of SIGTERM.
     *
     * @param all whether each client stays idle until its connection is closed; otherwise one in three does
     */
    void onTerminated(long atNs, boolean all) {
        allIdle = all;
        terminatedNs = atNs;
    }

    /** Stops all clients and waits until they have ended. */
    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.interrupt();
            thread.join();
        }
    }

    private boolean mayConnect() {
        return !stopped && (terminatedNs == 0 || System.nanoTime() - terminatedNs < CONNECT_AFTER_TERMINATION_NS);
    }

    /** A client with one connection at a time. */
    private final class Client {

        private final int number;
        private final SplittableRandom random;
        private int count;
        private Socket socket;
        private InputStream in;
        private boolean firstOnConnection;
        private long idleSinceNs;

        Client(int number) {
            this.number = number;
            random = new SplittableRandom(seed * CLIENTS + number);
        }

        void run() throws InterruptedException {
            while (!stopped) {
                try {
                    pause();
                    if (socket == null && !connect()) {
                        return;
                    }
                    exchange();
                } catch (IOException ended) {
                    closeConnection();
                }
            }
            closeConnection();
        }

        private void pause() throws InterruptedException {
            Thread.sleep(random.nextInt(MAX_THINK_MS));
            while (quiet && terminatedNs == 0) {
                Thread.sleep(1);
            }
            if (terminatedNs != 0 && socket != null && (allIdle || random.nextInt(3) == 0)) {
                int spreadMs = random.nextBoolean() ? 2 * IDLE_END_SPREAD_MS : AFTER_IDLE_END_MS;
                DaemonThreads.sleepUntil(
                        terminatedNs + 1_000_000L * (IDLE_END_MS - IDLE_END_SPREAD_MS + random.nextInt(spreadMs)));
            }
        }

        /**
         * Opens a connection.
         *
         * @return false if new connections are not to be opened any more, or the process has ended
         */
        private boolean connect() throws InterruptedException {
            while (mayConnect()) {
                try {
                    socket = new Socket();
                    socket.connect(sidecar, CONNECT_MS);
                    socket.setTcpNoDelay(true);
                    in = new BufferedInputStream(socket.getInputStream());
                    firstOnConnection = true;
                    idleSinceNs = System.nanoTime();
                    return true;
                } catch (IOException refused) {
                    BlockingHttp.close(socket);
                    Thread.sleep(MAX_GAP_MS);
                }
            }
            return false;
        }

        private void closeConnection() {
            if (socket != null) {
                BlockingHttp.close(socket);
                runRecord.clientEndsNs.add(System.nanoTime());
                socket = null;
            }
        }

        private void exchange() throws IOException, InterruptedException {
            double draw = random.nextDouble();
            if (draw < PIPELINED_SHARE) {
                RunRecord.ClientRequest one = newRequest();
                RunRecord.ClientRequest other = newRequest();
                other.predecessor = one;
                send(List.of(one, other), text(one) + text(other));
                readResponses(one, other);
                return;
            }
            RunRecord.ClientRequest request = newRequest();
            String text = text(request);
            if (draw < PIPELINED_SHARE + SPLIT_SHARE) {
                int cut = 1 + random.nextInt(text.length() - 1);
                BlockingHttp.write(socket, text.substring(0, cut));
                Thread.sleep(random.nextInt(MAX_GAP_MS));
                text = text.substring(cut);
            }
            send(List.of(request), text);
            if (draw > 1 - DISCONNECT_SHARE) {
                disconnect(request);
            } else {
                readResponse(request);
            }
            if (random.nextDouble() < CLOSE_SHARE) {
                closeConnection();
            }
        }

        private RunRecord.ClientRequest newRequest() {
            boolean unsafe = random.nextDouble() < UNSAFE_SHARE;
            double remainingMs = random.nextDouble() < SHORT_DEADLINE_SHARE
                    ? MIN_SHORT_DEADLINE_MS + random.nextInt(SHORT_DEADLINE_SPREAD_MS)
                    : unsafe ? UNSAFE_DEADLINE_MS : SAFE_DEADLINE_MS;
            RunRecord.ClientRequest request = new RunRecord.ClientRequest(
                    seed + "-" + number + "-" + count++,
                    unsafe,
                    remainingMs,
                    firstOnConnection,
                    (System.nanoTime() - idleSinceNs) / 1e6);
            firstOnConnection = false;
            return request;
        }

        private String text(RunRecord.ClientRequest request) {
            String body = "x".repeat(20);
            return (request.unsafe ? "POST /pay" : "GET /read") + "/k" + number + " HTTP/1.1\r\nHost: h\r\nX-Txn: "
                    + request.id + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + (long) request.remainingMs + "\r\n"
                    + (request.unsafe ? "Content-Length: " + body.length() + "\r\n\r\n" + body : "\r\n");
        }

        private void send(List<RunRecord.ClientRequest> requests, String text) throws IOException {
            for (RunRecord.ClientRequest request : requests) {
                request.sentNs = System.nanoTime();
                runRecord.requests.put(request.id, request);
            }
            try {
                BlockingHttp.write(socket, text);
            } catch (IOException closed) {
                requests.forEach(request -> request.ended(RunRecord.CLOSED));
                throw closed;
            }
        }

        private void disconnect(RunRecord.ClientRequest request) throws InterruptedException {
            Thread.sleep(random.nextInt(MAX_DISCONNECT_DELAY_MS));
            BlockingHttp.close(socket);
            request.disconnectedNs = System.nanoTime();
            closeConnection();
        }

        private void readResponses(RunRecord.ClientRequest one, RunRecord.ClientRequest other)
                throws IOException, InterruptedException {
            try {
                readResponse(one);
            } catch (IOException ended) {
                other.ended(RunRecord.CLOSED);
                throw ended;
            }
            readResponse(other);
        }

        private void readResponse(RunRecord.ClientRequest request) throws IOException, InterruptedException {
            if (socket == null) {
                request.ended(RunRecord.CLOSED);
                return;
            }
            boolean responseStarted = false;
            try {
                socket.setSoTimeout((int) request.remainingMs + EXTRA_WAIT_MS);
                int first = in.read();
                responseStarted = first >= 0;
                String head = BlockingHttp.head(in, first);
                if (head == null) {
                    request.ended(RunRecord.CLOSED);
                    // Until the client closes its own side, the sidecar could still take what it sent for a request.
                    Thread.sleep(random.nextInt(MAX_GAP_MS));
                    closeConnection();
                    return;
                }
                String body = BlockingHttp.body(in, head);
                String status = head.split(" ")[1];
                request.ended(status.equals("200") && !body.equals(request.id) ? "200 with " + body : status);
                idleSinceNs = System.nanoTime();
                if ("close".equalsIgnoreCase(BlockingHttp.header(head, "Connection"))) {
                    closeAfterResponse();
                }
            } catch (SocketTimeoutException late) {
                request.ended(RunRecord.GAVE_UP);
                closeConnection();
            } catch (IOException ended) {
                if (request.end == null) {
                    request.ended(responseStarted ? RunRecord.PARTIAL : RunRecord.CLOSED);
                }
                throw ended;
            }
        }

        /** Closes the connection at once, or after the other side has closed it. */
        private void closeAfterResponse() throws IOException {
            if (random.nextBoolean()) {
                while (in.read() >= 0) {
                    continue;
                }
            }
            closeConnection();
        }
    }
}
