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
    private static final double USUAL_MS = 900;
    private static final double UNSAFE_MS = 1_400;
    private static final int LEAST_LITTLE_MS = 2;
    private static final int LITTLE_SPREAD_MS = 60;
    /** A client waits longer than it says, so that the record has when a late answer came. */
    private static final int LONGER_MS = 1_500;

    private static final int CONNECT_MS = 1_000;
    private static final long NEW_CONNECTIONS_NS = 300_000_000L;
    private static final int MOST_THINKING_MS = 80;
    private static final int MOST_LEAVING_MS = 120;
    private static final int MOST_GAP_MS = 30;
    /** The sidecar ends idle connections so long after SIGTERM; some requests come round that moment. */
    private static final int IDLE_END_MS = 700;

    private static final int ROUND_IDLE_END_MS = 15;
    /** Others come later, while the sidecar waits for its clients to end their side. */
    private static final int AFTER_IDLE_END_MS = 400;

    private static final double UNSAFE = 0.4;
    private static final double LITTLE_TIME = 0.06;
    private static final double IN_PIECES = 0.1;
    private static final double PAIRS = 0.08;
    private static final double LEAVING = 0.05;
    private static final double CONNECTIONS_ENDED = 0.02;

    private final InetSocketAddress sidecar;
    private final RunRecord journal;
    private final long seed;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean quiet;
    private volatile boolean allRest;
    private volatile boolean stopped;
    private volatile long terminatedNs;

    SoakClients(InetSocketAddress sidecar, RunRecord journal, long seed) {
        this.sidecar = sidecar;
        this.journal = journal;
        this.seed = seed;
    }

    void start() {
        for (int number = 0; number < CLIENTS; number++) {
            Client client = new Client(number);
            threads.add(DaemonThreads.start("client " + number, client::run));
        }
    }

    void quiet(boolean now) {
        quiet = now;
    }

    /** {@code all}: each of them rests until its connection is ended, else one in three. */
    void terminated(long atNs, boolean all) {
        allRest = all;
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
        return !stopped && (terminatedNs == 0 || System.nanoTime() - terminatedNs < NEW_CONNECTIONS_NS);
    }

    /** One client with one connection at a time. */
    private final class Client {

        private final int number;
        private final SplittableRandom random;
        private int count;
        private Socket socket;
        private InputStream in;
        private boolean fresh;
        private long restingSinceNs;

        Client(int number) {
            this.number = number;
            random = new SplittableRandom(seed * CLIENTS + number);
        }

        void run() throws InterruptedException {
            while (!stopped) {
                try {
                    think();
                    if (socket == null && !connect()) {
                        return;
                    }
                    exchange();
                } catch (IOException ended) {
                    hangUp();
                }
            }
            hangUp();
        }

        private void think() throws InterruptedException {
            Thread.sleep(random.nextInt(MOST_THINKING_MS));
            while (quiet && terminatedNs == 0) {
                Thread.sleep(1);
            }
            if (terminatedNs != 0 && socket != null && (allRest || random.nextInt(3) == 0)) {
                int spreadMs = random.nextBoolean() ? 2 * ROUND_IDLE_END_MS : AFTER_IDLE_END_MS;
                DaemonThreads.sleepUntil(
                        terminatedNs + 1_000_000L * (IDLE_END_MS - ROUND_IDLE_END_MS + random.nextInt(spreadMs)));
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
                    fresh = true;
                    restingSinceNs = System.nanoTime();
                    return true;
                } catch (IOException refused) {
                    BlockingHttp.close(socket);
                    Thread.sleep(MOST_GAP_MS);
                }
            }
            return false;
        }

        private void hangUp() {
            if (socket != null) {
                BlockingHttp.close(socket);
                journal.clientEndsNs.add(System.nanoTime());
                socket = null;
            }
        }

        private void exchange() throws IOException, InterruptedException {
            double luck = random.nextDouble();
            if (luck < PAIRS) {
                RunRecord.Ask one = ask();
                RunRecord.Ask other = ask();
                other.behind = one;
                send(List.of(one, other), text(one) + text(other));
                answer(one);
                answer(other);
                return;
            }
            RunRecord.Ask asked = ask();
            String text = text(asked);
            if (luck < PAIRS + IN_PIECES) {
                int cut = 1 + random.nextInt(text.length() - 1);
                BlockingHttp.write(socket, text.substring(0, cut));
                Thread.sleep(random.nextInt(MOST_GAP_MS));
                text = text.substring(cut);
            }
            send(List.of(asked), text);
            if (luck > 1 - LEAVING) {
                leave(asked);
            } else {
                answer(asked);
            }
            if (random.nextDouble() < CONNECTIONS_ENDED) {
                hangUp();
            }
        }

        private RunRecord.Ask ask() {
            boolean unsafe = random.nextDouble() < UNSAFE;
            double remainingMs = random.nextDouble() < LITTLE_TIME
                    ? LEAST_LITTLE_MS + random.nextInt(LITTLE_SPREAD_MS)
                    : unsafe ? UNSAFE_MS : USUAL_MS;
            RunRecord.Ask asked = new RunRecord.Ask(
                    seed + "-" + number + "-" + count++,
                    unsafe,
                    remainingMs,
                    fresh,
                    (System.nanoTime() - restingSinceNs) / 1e6);
            fresh = false;
            return asked;
        }

        private String text(RunRecord.Ask asked) {
            String body = "x".repeat(20);
            return (asked.unsafe ? "POST /pay" : "GET /read") + "/k" + number + " HTTP/1.1\r\nHost: h\r\nX-Txn: "
                    + asked.id + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + (long) asked.remainingMs + "\r\n"
                    + (asked.unsafe ? "Content-Length: " + body.length() + "\r\n\r\n" + body : "\r\n");
        }

        private void send(List<RunRecord.Ask> asks, String text) throws IOException {
            for (RunRecord.Ask asked : asks) {
                asked.sentNs = System.nanoTime();
                journal.asks.put(asked.id, asked);
            }
            try {
                BlockingHttp.write(socket, text);
            } catch (IOException closed) {
                asks.forEach(asked -> asked.ended(RunRecord.CLOSED));
                throw closed;
            }
        }

        private void leave(RunRecord.Ask asked) throws InterruptedException {
            Thread.sleep(random.nextInt(MOST_LEAVING_MS));
            BlockingHttp.close(socket);
            asked.leftNs = System.nanoTime();
            hangUp();
        }

        private void answer(RunRecord.Ask asked) throws IOException, InterruptedException {
            if (socket == null) {
                asked.ended(RunRecord.CLOSED);
                return;
            }
            boolean begun = false;
            try {
                socket.setSoTimeout((int) asked.remainingMs + LONGER_MS);
                int first = in.read();
                begun = first >= 0;
                String head = BlockingHttp.head(in, first);
                if (head == null) {
                    asked.ended(RunRecord.CLOSED);
                    // Until it closes its own side, what it sent could still be taken for a request.
                    Thread.sleep(random.nextInt(MOST_GAP_MS));
                    hangUp();
                    return;
                }
                String body = BlockingHttp.body(in, head);
                String status = head.split(" ")[1];
                asked.ended(status.equals("200") && !body.equals(asked.id) ? "200 with " + body : status);
                restingSinceNs = System.nanoTime();
                if ("close".equalsIgnoreCase(BlockingHttp.header(head, "Connection"))) {
                    awaitEnd();
                }
            } catch (SocketTimeoutException late) {
                asked.ended(RunRecord.GAVE_UP);
                hangUp();
            } catch (IOException ended) {
                if (asked.end == null) {
                    asked.ended(begun ? RunRecord.PARTIAL : RunRecord.CLOSED);
                }
                throw ended;
            }
        }

        /** Some close as soon as they are told to, some wait for the other side. */
        private void awaitEnd() throws IOException {
            if (random.nextBoolean()) {
                while (in.read() >= 0) {
                    continue;
                }
            }
            hangUp();
        }
    }
}
