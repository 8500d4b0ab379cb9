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
 * One agent's HTTP API over a {@link Cluster}, on loopback, a thread a connection. Several may share a cluster, each
 * with a fault of its own.
 */
public final class NomadStandIn implements Closeable {

    private static final long HUGE_BYTES = 100_000_000;

    private final Cluster cluster;
    private final long heartbeatMs;
    private final Counts counts = new Counts();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private volatile Fault fault = Fault.NONE;
    private volatile String token = "";
    private volatile boolean closed;
    private final int port;

    /** @param heartbeatMs of streams; Nomad's is 10 s */
    public NomadStandIn(Cluster cluster, long heartbeatMs) throws IOException {
        this.cluster = cluster;
        this.heartbeatMs = heartbeatMs;
        listener = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        accept(listener);
    }

    public String address() {
        return "127.0.0.1:" + port;
    }

    public Counts counts() {
        return counts;
    }

    /** From now on requests must carry this token; empty for none. */
    public void token(String wanted) {
        token = wanted;
    }

    /** From now on this is wrong; what is open ends as it would. */
    public void fault(Fault now) throws IOException {
        Fault before = fault;
        fault = now;
        if (before == Fault.REFUSE && now != Fault.REFUSE) {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_024);
            accept(listener);
        }
        if (now == Fault.REFUSE) {
            listener.close();
        }
        if (now != Fault.NONE) {
            // A server that is ill or gone does not go on with what it was asked before.
            for (Socket each : open) {
                each.close();
            }
        }
    }

    private void accept(ServerSocket on) {
        daemon(() -> {
            while (!closed) {
                Socket connection = on.accept();
                open.add(connection);
                daemon(() -> {
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

    private static void daemon(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException over) {
                        // The connection or the test is over.
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
        if (fault == Fault.RESET) {
            connection.setSoLinger(true, 0);
            return;
        }
        List<String> head = head(new BufferedInputStream(connection.getInputStream()));
        if (head.isEmpty()) {
            return;
        }
        String target = head.get(0).split(" ")[1];
        Question question = Question.of(target);
        counts.asked(question.kind());
        Out out = new Out(connection.getOutputStream());
        boolean allowed = token.isEmpty() || head.stream().anyMatch(("X-Nomad-Token: " + token)::equalsIgnoreCase);
        if (!allowed) {
            out.answer(Reply.refusal(403, "Permission denied"));
        } else if (!spoilt(out)) {
            switch (question.kind()) {
                case "list" -> list(question, out);
                case "stream" -> stream(question, out);
                default -> out.answer(Reply.object(cluster, question));
            }
        }
    }

    private static List<String> head(InputStream in) throws IOException {
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

    /** What goes wrong with any request. */
    private boolean spoilt(Out out) throws IOException, InterruptedException {
        switch (fault) {
            case DELAY -> Thread.sleep(1_000);
            case SILENT -> {
                while (fault == Fault.SILENT && !closed) {
                    Thread.sleep(20);
                }
                return true;
            }
            case HUGE -> out.huge();
            default -> {
                Optional<Reply> reply = Reply.spoilt(fault);
                if (reply.isPresent()) {
                    out.answer(reply.get());
                }
                return reply.isPresent();
            }
        }
        return fault != Fault.DELAY;
    }

    private void list(Question question, Out out) throws IOException, InterruptedException {
        long waitMs = question.waitMs();
        Fault now = fault;
        counts.opened(false);
        try {
            if (now != Fault.OLDER && now != Fault.UNSURE) {
                cluster.await(
                        question.index(), waitMs + ThreadLocalRandom.current().nextLong(waitMs / 16 + 1));
            }
            out.answer(Reply.list(cluster, question.service(), now));
        } finally {
            counts.closed(false);
        }
    }

    // ---- Streams ----

    private void stream(Question question, Out out) throws IOException, InterruptedException {
        if (fault == Fault.NO_STREAM) {
            out.answer(Reply.refusal(403, "Permission denied"));
            return;
        }
        long next = question.index();
        next = next == 0 ? cluster.nextIndex() : next;
        out.begin();
        counts.opened(true);
        try {
            while (!closed) {
                List<Cluster.Event> events = cluster.events(next, heartbeatMs);
                boolean told = false;
                for (Cluster.Event each : events) {
                    next = each.index() + 1;
                    if (fault != Fault.HEARTBEATS_ONLY && question.wants(each)) {
                        told = true;
                        if (fault == Fault.HALF_LINE) {
                            out.chunk(each.line().substring(0, each.line().length() / 2));
                            return;
                        }
                        out.chunk(each.line() + "\n");
                    }
                }
                if (!told) {
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

    // ---- Answers ----

    /** Writes to one connection, and counts. */
    private final class Out {

        private final OutputStream to;

        Out(OutputStream to) {
            this.to = to;
        }

        void answer(Reply reply) throws IOException, InterruptedException {
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
            if (fault != Fault.TRICKLE) {
                to.write(bytes);
                return;
            }
            for (byte each : bytes) {
                to.write(each);
                Thread.sleep(fault == Fault.TRICKLE ? 50 : 0);
            }
        }
    }
}
