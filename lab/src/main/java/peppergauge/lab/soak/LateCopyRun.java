package peppergauge.lab.soak;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import peppergauge.lab.process.DeploymentFile;
import peppergauge.lab.process.SidecarProcess;

/**
 * Three sidecars in processes of their own, many clients and six distant servers that send late copies of responses.
 * The record of all requests and attempts is checked: whether a client got a response that was made for another
 * request, and whether a request was rejected although it may have run, sent twice at once, or run twice.
 */
public final class LateCopyRun implements Closeable {

    /** What must not happen. */
    public enum Violation {
        /** A client got a response that no server made for its request. */
        FOREIGN_RESPONSE,
        /** A non-idempotent request that may have run was rejected, as if it had not. */
        REJECTED_AFTER_RUN,
        /** Two attempts of one request were in flight at once. */
        SIMULTANEOUS_ATTEMPTS,
        /** A non-idempotent request was sent again after an attempt that may have run. */
        SENT_AGAIN
    }

    /**
     * The result of a run.
     *
     * @param violations the number of requests by violation, and the first one of each kind with its attempts
     */
    public record Outcome(long seed, int requests, int served, int copies, Map<Violation, List<String>> violations) {

        @Override
        public String toString() {
            String counts = violations.entrySet().stream()
                    .map(each -> each.getKey() + "=" + each.getValue().size() + " ("
                            + each.getValue().get(0) + ")")
                    .collect(Collectors.joining("; "));
            return "seed=" + seed + " requests=" + requests + " served=" + served + " copies=" + copies + " "
                    + (counts.isEmpty() ? "no violations" : counts);
        }
    }

    private static final int SIDECARS = 3;
    private static final int CLIENTS_PER_SIDECAR = 24;
    /** Delays of the links between the zones, one way. */
    private static final double[] LINK_DELAYS_MS = {0, 0.5, 9.5, 12, 16, 19};

    private static final double COPY_SHARE = 0.1;
    private static final double UNSAFE_SHARE = 0.5;
    private static final int DEADLINE_MS = 900;
    private static final int CLIENT_WAIT_MS = 3_000;
    private static final int MAX_THINK_MS = 20;
    /** How long the sidecar may take to end one attempt before the next one. */
    private static final long SLACK_NS = 50_000_000;

    private static final String SETTINGS = """
            {"balancers":3,"me":0,"zone":0,"areas":["z0"],"tickMs":5,"overShareWorth":1,"registryMode":"subscribe",
             "limits":{"cancelling":true,"connIdleMs":4000,"connectTimeoutMs":200,"maxRetryAfterMs":1200,
                       "mayProbe":false,"mostTries":3,"parallelTries":false,"retryAfter":true},
             "profiles":[
               {"name":"read","aimMs":300,"deadlineMs":900,"worth":1,"lateWorth":0.3,"effect":"idempotent"},
               {"name":"pay","aimMs":300,"deadlineMs":900,"worth":5,"lateWorth":0.3,"effect":"at_most_once"}],
             "rules":{"coldShare":0.3,"coldMs":100,"tipMultiple":2.5,"fallMs":3000,"drainGraceMs":400},
             "tenants":[{"name":"acme","quotaPerS":1000}]}
            """;

    /** A request, as its client saw it. */
    private record ClientRequest(String id, boolean unsafe, String status, String body) {}

    private final long seed;
    private final List<DistantServer> servers = new ArrayList<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final Queue<ClientRequest> requests = new ConcurrentLinkedQueue<>();
    private final AtomicLong ids = new AtomicLong();

    /**
     * Starts servers and sidecars.
     *
     * @param run the shell command of a sidecar
     * @param checkout the directory in which it is run
     * @param maxCopyDelayMs largest time from a response to its copy
     */
    public LateCopyRun(String run, Path checkout, long seed, double maxCopyDelayMs)
            throws IOException, InterruptedException {
        this.seed = seed;
        DiscoveryService discovery = new DiscoveryService();
        for (int i = 0; i < LINK_DELAYS_MS.length; i++) {
            DistantServer server = new DistantServer(
                    "s" + i,
                    new DistantServer.Behavior(LINK_DELAYS_MS[i], maxCopyDelayMs, COPY_SHARE),
                    seed * LINK_DELAYS_MS.length + i);
            servers.add(server);
            discovery.update(server.id(), server.address(), "active");
        }
        for (int i = 0; i < SIDECARS; i++) {
            sidecars.add(new SidecarProcess(
                    new SidecarProcess.Launch(checkout, run, -1, 1),
                    SidecarProcess.freeAddress(),
                    configuration("n" + i, discovery)));
        }
        for (SidecarProcess sidecar : sidecars) {
            sidecar.awaitUp();
        }
    }

    private Map<String, Object> configuration(String name, DiscoveryService discovery) throws IOException {
        JsonMapper json = new JsonMapper();
        return Map.of(
                "name", name,
                "discovery", discovery.address(0),
                "seed", String.format("%016x", seed),
                "limits", Map.of("cores", 1, "memory_mb", 192, "sockets", 256),
                "known", json.readTree(discovery.knownEndpoints()),
                "settings", json.readTree(SETTINGS));
    }

    /** Lets the clients send for a while, and checks the record. */
    public Outcome run(long durationMs) throws InterruptedException {
        long untilNs = System.nanoTime() + durationMs * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SIDECARS * CLIENTS_PER_SIDECAR; i++) {
            InetSocketAddress address = sidecars.get(i % SIDECARS).address();
            SplittableRandom random = new SplittableRandom(seed * 1_000 + i);
            clients.add(DaemonThreads.start("client " + i, () -> runClient(address, random, untilNs)));
        }
        for (Thread client : clients) {
            client.join();
        }
        return check();
    }

    // ---- Clients ----

    private void runClient(InetSocketAddress address, SplittableRandom random, long untilNs)
            throws InterruptedException {
        Socket socket = null;
        while (System.nanoTime() < untilNs) {
            boolean unsafe = random.nextDouble() < UNSAFE_SHARE;
            String id = String.format("%08x%08x", seed, ids.incrementAndGet());
            try {
                socket = socket == null ? connect(address) : socket;
                socket = exchange(socket, id, unsafe);
            } catch (IOException closed) {
                requests.add(new ClientRequest(id, unsafe, "closed", ""));
                BlockingHttp.close(socket);
                socket = null;
            }
            Thread.sleep(random.nextInt(MAX_THINK_MS));
        }
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(CLIENT_WAIT_MS);
        return socket;
    }

    /** Sends a request and records its response; returns the connection, or null if it is closed. */
    private Socket exchange(Socket socket, String id, boolean unsafe) throws IOException {
        BlockingHttp.write(
                socket,
                (unsafe ? "POST /pay" : "GET /read") + "/key HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                        + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + DEADLINE_MS + "\r\n"
                        + (unsafe ? "Content-Length: 2\r\n\r\nok" : "\r\n"));
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String head = BlockingHttp.head(in);
        if (head == null) {
            throw new IOException("closed before a response");
        }
        String body = BlockingHttp.body(in, head);
        requests.add(new ClientRequest(id, unsafe, head.split(" ")[1], body));
        if ("close".equals(BlockingHttp.header(head, "Connection"))) {
            BlockingHttp.close(socket);
            return null;
        }
        return socket;
    }

    // ---- Rules ----

    private Outcome check() {
        Map<Violation, List<String>> violations = new EnumMap<>(Violation.class);
        Map<String, List<DistantServer.Attempt>> attempts = servers.stream()
                .flatMap(server -> server.attempts().stream())
                .sorted(Comparator.comparingLong(attempt -> attempt.receivedNs))
                .collect(Collectors.groupingBy(attempt -> attempt.requestId));
        for (ClientRequest request : requests) {
            List<DistantServer.Attempt> own = attempts.getOrDefault(request.id(), List.of());
            for (Violation violation : violationsOf(request, own)) {
                violations.computeIfAbsent(violation, kind -> new ArrayList<>()).add(describe(request, own));
            }
        }
        int served = (int) requests.stream()
                .filter(request -> request.status().equals("200"))
                .count();
        int copies = servers.stream().mapToInt(DistantServer::copies).sum();
        return new Outcome(seed, requests.size(), served, copies, violations);
    }

    private static List<Violation> violationsOf(ClientRequest request, List<DistantServer.Attempt> attempts) {
        List<Violation> found = new ArrayList<>();
        if (request.status().equals("200") && !request.body().equals(DistantServer.body(request.id()))) {
            found.add(Violation.FOREIGN_RESPONSE);
        }
        boolean mayHaveRun = attempts.stream().anyMatch(DistantServer.Attempt::mayHaveRun);
        if (request.unsafe() && mayHaveRun && request.status().equals("503")) {
            found.add(Violation.REJECTED_AFTER_RUN);
        }
        for (int i = 1; i < attempts.size(); i++) {
            DistantServer.Attempt before = attempts.get(i - 1);
            DistantServer.Attempt next = attempts.get(i);
            if (before.endedNs == 0 || before.endedNs > next.receivedNs + SLACK_NS) {
                found.add(Violation.SIMULTANEOUS_ATTEMPTS);
            }
            if (request.unsafe() && before.mayHaveRun()) {
                found.add(Violation.SENT_AGAIN);
            }
        }
        return found.stream().distinct().toList();
    }

    private static String describe(ClientRequest request, List<DistantServer.Attempt> attempts) {
        long firstNs = attempts.isEmpty() ? 0 : attempts.get(0).receivedNs;
        return request.id()
                + (request.unsafe() ? " pay " : " read ")
                + request.status()
                + attempts.stream()
                        .map(attempt -> String.format(
                                " %s received=%.0f started=%.0f ended=%.0f%s",
                                attempt.server,
                                (attempt.receivedNs - firstNs) / 1e6,
                                attempt.startedNs == 0 ? -1 : (attempt.startedNs - firstNs) / 1e6,
                                attempt.endedNs == 0 ? -1 : (attempt.endedNs - firstNs) / 1e6,
                                attempt.rejected ? " rejected" : ""))
                        .collect(Collectors.joining());
    }

    @Override
    public void close() throws IOException {
        for (SidecarProcess sidecar : sidecars) {
            sidecar.close();
        }
        for (DistantServer server : servers) {
            server.close();
        }
    }

    /**
     * Plays seeds with the build of a checkout, a line each: {@code CHECKOUT FIRST_SEED LAST_SEED MAX_COPY_DELAY_MS
     * DURATION_MS}. The exit code is 3 if a run has a violation.
     */
    public static void main(String[] args) throws Exception {
        Path checkout = Path.of(args[0]).toAbsolutePath();
        int violating = 0;
        for (long seed = Long.parseLong(args[1]); seed <= Long.parseLong(args[2]); seed++) {
            try (LateCopyRun run =
                    new LateCopyRun(DeploymentFile.run(checkout), checkout, seed, Double.parseDouble(args[3]))) {
                Outcome outcome = run.run(Long.parseLong(args[4]));
                violating += outcome.violations().isEmpty() ? 0 : 1;
                System.out.println(outcome);
            }
        }
        System.out.println("seeds with violations: " + violating);
        System.exit(violating > 0 ? 3 : 0);
    }
}
