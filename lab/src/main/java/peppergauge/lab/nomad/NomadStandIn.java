package peppergauge.lab.nomad;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A stand-in for one Nomad agent's HTTP API over a {@link Cluster}, on loopback, with a thread for each connection.
 * Several agents may share a cluster, each with its own fault. Thread-safe.
 */
public final class NomadStandIn implements Closeable {

    private static final long HUGE_BYTES = 100_000_000;

    private final Cluster cluster;
    private final long heartbeatMs;
    private final ApiCounters counts = new ApiCounters();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private volatile ApiFault fault = ApiFault.NONE;
    private volatile String token = "";
    private volatile boolean closed;
    private final int port;

    /**
     * Opens a free port.
     *
     * @param heartbeatMs heartbeat interval of streams; Nomad uses 10 s
     * @throws IOException if no port can be opened
     */
    public NomadStandIn(Cluster cluster, long heartbeatMs) throws IOException {
        this.cluster = cluster;
        this.heartbeatMs = heartbeatMs;
        listener = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        accept(listener);
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + port;
    }

    public ApiCounters counts() {
        return counts;
    }

    /** Sets the token that requests must carry; empty for none. */
    public void token(String wanted) {
        token = wanted;
    }

    /** Sets the fault; any fault closes the open connections. */
    public void fault(ApiFault now) throws IOException {
        ApiFault before = fault;
        fault = now;
        if (before == ApiFault.REFUSE && now != ApiFault.REFUSE) {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_024);
            accept(listener);
        }
        if (now == ApiFault.REFUSE) {
            listener.close();
        }
        if (now != ApiFault.NONE) {
            // A failing server does not complete requests that it received before.
            for (Socket each : open) {
                each.close();
            }
        }
    }

    private void accept(ServerSocket on) {
        startDaemonThread(() -> {
            while (!closed) {
                Socket connection = on.accept();
                open.add(connection);
                startDaemonThread(() -> {
                    try (connection) {
                        serve(connection);
                    } finally {
                        open.remove(connection);
                    }
                });
            }
        });
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemonThread(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException over) {
                        // The connection was closed, or the stand-in.
                    }
                },
                "stand-in",
                128 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- One request ----

    private void serve(Socket connection) throws IOException, InterruptedException {
        connection.setTcpNoDelay(true);
        if (fault == ApiFault.RESET) {
            connection.setSoLinger(true, 0);
            return;
        }
        List<String> head = readHead(new BufferedInputStream(connection.getInputStream()));
        if (head.isEmpty()) {
            return;
        }
        String target = head.get(0).split(" ")[1];
        ApiRequest question = ApiRequest.of(target);
        counts.asked(question.kind());
        ResponseWriter out = new ResponseWriter(connection.getOutputStream());
        boolean allowed = token.isEmpty() || head.stream().anyMatch(("X-Nomad-Token: " + token)::equalsIgnoreCase);
        if (!allowed) {
            out.answer(ApiResponse.error(403, "Permission denied"));
        } else if (!applyFault(out)) {
            switch (question.kind()) {
                case "list" -> list(question, out);
                case "stream" -> stream(question, out);
                default -> out.answer(ApiResponse.object(cluster, question));
            }
        }
    }

    private static List<String> readHead(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                if (line.length() == 0) {
                    return lines;
                }
                lines.add(line.toString());
                line.setLength(0);
            } else if (next != '\r') {
                line.append((char) next);
            }
        }
        return List.of();
    }

    /** Applies faults that concern any request; returns whether the request needs no further response. */
    private boolean applyFault(ResponseWriter out) throws IOException, InterruptedException {
        switch (fault) {
            case DELAY -> Thread.sleep(1_000);
            case SILENT -> {
                while (fault == ApiFault.SILENT && !closed) {
                    Thread.sleep(20);
                }
                return true;
            }
            case HUGE -> out.huge();
            default -> {
                Optional<ApiResponse> reply = ApiResponse.faultResponse(fault);
                if (reply.isPresent()) {
                    out.answer(reply.get());
                }
                return reply.isPresent();
            }
        }
        return fault != ApiFault.DELAY;
    }

    private void list(ApiRequest question, ResponseWriter out) throws IOException, InterruptedException {
        long waitMs = question.waitMs();
        ApiFault now = fault;
        counts.opened(false);
        try {
            if (now != ApiFault.OLDER && now != ApiFault.UNSURE) {
                cluster.await(
                        question.index(), waitMs + ThreadLocalRandom.current().nextLong(waitMs / 16 + 1));
            }
            out.answer(ApiResponse.list(cluster, question.service(), now));
        } finally {
            counts.closed(false);
        }
    }

    // ---- Streams ----

    private void stream(ApiRequest question, ResponseWriter out) throws IOException, InterruptedException {
        if (fault == ApiFault.NO_STREAM) {
            out.answer(ApiResponse.error(403, "Permission denied"));
            return;
        }
        long next = question.index();
        next = next == 0 ? cluster.nextIndex() : next;
        out.begin();
        counts.opened(true);
        try {
            while (!closed) {
                List<Cluster.Event> events = cluster.events(next, heartbeatMs);
                boolean hasSent = false;
                for (Cluster.Event each : events) {
                    next = each.index() + 1;
                    if (fault != ApiFault.HEARTBEATS_ONLY && question.wants(each)) {
                        hasSent = true;
                        if (fault == ApiFault.HALF_LINE) {
                            out.chunk(each.line().substring(0, each.line().length() / 2));
                            return;
                        }
                        out.chunk(each.line() + "\n");
                    }
                }
                if (!hasSent) {
                    out.chunk("{}\n");
                }
            }
        } finally {
            counts.closed(true);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket each : open) {
            each.close();
        }
    }

    // ---- Responses ----

    /** Writes to one connection and counts the bytes. */
    private final class ResponseWriter {

        private final OutputStream to;

        ResponseWriter(OutputStream to) {
            this.to = to;
        }

        void answer(ApiResponse reply) throws IOException, InterruptedException {
            byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
            write("HTTP/1.1 " + reply.status() + " X\r\n"
                    + (reply.index() == 0
                            ? ""
                            : "X-Nomad-Index: " + reply.index() + "\r\nX-Nomad-KnownLeader: " + reply.knownLeader()
                                    + "\r\nX-Nomad-LastContact: " + reply.lastContactMs() + "\r\n")
                    + (reply.retryAfterS() == 0 ? "" : "Retry-After: " + reply.retryAfterS() + "\r\n")
                    + "Content-Type: application/json\r\nContent-Length: " + bytes.length
                    + "\r\nConnection: close\r\n\r\n" + reply.body());
        }

        void begin() throws IOException, InterruptedException {
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void chunk(String text) throws IOException, InterruptedException {
            write(Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
        }

        void huge() throws IOException {
            to.write(("HTTP/1.1 200 OK\r\nX-Nomad-Index: 99999\r\nContent-Length: " + HUGE_BYTES + "\r\n\r\n[")
                    .getBytes(StandardCharsets.US_ASCII));
            byte[] blanks = " ".repeat(64 << 10).getBytes(StandardCharsets.US_ASCII);
            for (long sent = 1; sent < HUGE_BYTES; sent += blanks.length) {
                to.write(blanks);
                counts.wrote(blanks.length);
            }
        }

        private void write(String text) throws IOException, InterruptedException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            counts.wrote(bytes.length);
            if (fault != ApiFault.TRICKLE) {
                to.write(bytes);
                return;
            }
            for (byte each : bytes) {
                to.write(each);
                Thread.sleep(fault == ApiFault.TRICKLE ? 50 : 0);
            }
        }
    }
}
