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
 * The application beside the sidecar, a thread for each of its clients. They ask whole, in pieces, two requests at
 * once, with little time, leave early, and rest so that a request crosses the end of their connection. After SIGTERM
 * they go on on every connection that stays open; new ones they open for 0.3 s more.
 */
final class SoakClients {

    private static final int CLIENTS = 12;
    private static final double SAFE_DEADLINE_MS = 900;
    private static final double UNSAFE_DEADLINE_MS = 1_400;
    private static final int MIN_SHORT_DEADLINE_MS = 2;
    private static final int SHORT_DEADLINE_SPREAD_MS = 60;
    /** A client waits longer than it says, so that the record has when a late answer came. */
    private static final int EXTRA_WAIT_MS = 1_500;

    private static final int CONNECT_MS = 1_000;
    private static final long CONNECT_AFTER_TERMINATION_NS = 300_000_000L;
    private static final int MAX_THINK_MS = 80;
    private static final int MAX_DISCONNECT_DELAY_MS = 120;
    private static final int MAX_GAP_MS = 30;
    /** The sidecar ends idle connections so long after SIGTERM; some requests come round that moment. */
    private static final int IDLE_END_MS = 700;

    private static final int IDLE_END_SPREAD_MS = 15;
    /** Others come later, while the sidecar waits for its clients to end their side. */
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

    /** {@code all}: each of them rests until its connection is ended, else one in three. */
    void onTerminated(long atNs, boolean all) {
        allIdle = all;
        terminatedNs = atNs;
    }

    /** Waits until all have ended. */
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

    /** One client with one connection at a time. */
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

        /** False where no new connection is to be made any more, or the process is gone. */
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
                readResponse(one);
                readResponse(other);
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
                    // Until it closes its own side, what it sent could still be taken for a request.
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

        /** Some close as soon as they are told to, some wait for the other side. */
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
