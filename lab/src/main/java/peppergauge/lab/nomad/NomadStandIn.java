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
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One agent's HTTP API over a {@link Cluster}, on loopback, a thread a connection. Several may share a cluster, each
 * with a fault of its own.
 */
public final class NomadStandIn implements Closeable {

    private static final long HUGE_BYTES = 100_000_000;
    private static final int CHANGES_AGO = 2;
    private static final long STALE_MS = 120_000;

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
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | InterruptedException over) {
                // The connection or the test is over.
            }
        }, "stand-in", 128 << 10);
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
        String path = target.replaceAll("\\?.*", "");
        Map<String, List<String>> query = query(target);
        String kind = kind(path);
        counts.asked(kind);
        Out out = new Out(connection.getOutputStream());
        boolean allowed = token.isEmpty() || head.stream().anyMatch(("X-Nomad-Token: " + token)::equalsIgnoreCase);
        if (!allowed) {
            out.answer(403, "", "Permission denied");
        } else if (!spoilt(kind, out)) {
            switch (kind) {
                case "list" -> list(path.substring("/v1/service/".length()), query, out);
                case "stream" -> stream(query, out);
                case "allocation" -> object(cluster.allocation(path.substring("/v1/allocation/".length())), out);
                case "node" -> object(cluster.node(path.substring("/v1/node/".length())), out);
                case "checks" -> object(cluster.checks(path.split("/")[4]), out);
                default -> out.answer(404, "", "not found");
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

    private static Map<String, List<String>> query(String target) {
        Map<String, List<String>> query = new HashMap<>();
        int mark = target.indexOf('?');
        for (String each : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            String[] pair = each.split("=", 2);
            query.computeIfAbsent(pair[0], fresh -> new ArrayList<>())
                    .add(pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private static String kind(String path) {
        return path.startsWith("/v1/service/") ? "list" : path.equals("/v1/event/stream") ? "stream"
                : path.startsWith("/v1/allocation/") ? "allocation" : path.startsWith("/v1/node/") ? "node"
                : path.endsWith("/checks") ? "checks" : "other";
    }

    /** What goes wrong with any request. */
    private boolean spoilt(String kind, Out out) throws IOException, InterruptedException {
        switch (fault) {
            case DELAY -> Thread.sleep(1_000);
            case SILENT -> {
                while (fault == Fault.SILENT && !closed) {
                    Thread.sleep(20);
                }
                return true;
            }
            case TOO_MANY -> out.answer(429, "Retry-After: 1\r\n", "too many requests");
            case ERROR -> out.answer(500, "", "No cluster leader");
            case FORBIDDEN -> out.answer(403, "", "Permission denied");
            case GARBAGE -> out.answer(200, "X-Nomad-Index: 99999\r\n", "[{\"ID\":\"x\",\"Address\":]]");
            case DEEP -> out.answer(200, "X-Nomad-Index: 99999\r\n", "[".repeat(1_000) + "]".repeat(1_000));
            case HUGE -> out.huge();
            default -> {
                return false;
            }
        }
        return fault != Fault.DELAY;
    }

    private void object(Map<String, Object> found, Out out) throws IOException, InterruptedException {
        out.answer(found == null ? 404 : 200, "", found == null ? "not found" : Text.of(found));
    }

    // ---- Lists ----

    private void list(String service, Map<String, List<String>> query, Out out)
            throws IOException, InterruptedException {
        long after = Long.parseLong(first(query, "index", "0"));
        long waitMs = Math.min(600_000, Long.parseLong(first(query, "wait", "300000ms").replace("ms", "")));
        waitMs += ThreadLocalRandom.current().nextLong(waitMs / 16 + 1);
        Fault now = fault;
        counts.opened(false);
        try {
            Cluster.Listing listing = now == Fault.OLDER || now == Fault.UNSURE ? cluster.older(service, CHANGES_AGO)
                    : cluster.list(service, after, waitMs);
            List<Map<String, Object>> list = new ArrayList<>(now == Fault.EMPTY ? List.of() : listing.registrations());
            if (now == Fault.DUPLICATES) {
                list.addAll(listing.registrations());
            }
            long index = now == Fault.INDEX_BACK ? 3 + listing.index() % 3 : listing.index();
            out.answer(200, "X-Nomad-Index: " + index + "\r\nX-Nomad-KnownLeader: " + (now != Fault.UNSURE)
                    + "\r\nX-Nomad-LastContact: " + (now == Fault.UNSURE ? STALE_MS : 0) + "\r\n", Text.of(list));
        } finally {
            counts.closed(false);
        }
    }

    private static String first(Map<String, List<String>> query, String name, String otherwise) {
        return query.getOrDefault(name, List.of(otherwise)).get(0);
    }

    // ---- Streams ----

    private void stream(Map<String, List<String>> query, Out out) throws IOException, InterruptedException {
        if (fault == Fault.NO_STREAM) {
            out.answer(403, "", "Permission denied");
            return;
        }
        long next = Long.parseLong(first(query, "index", "0"));
        next = next == 0 ? cluster.nextIndex() : next;
        out.begin();
        counts.opened(true);
        try {
            while (!closed) {
                List<Cluster.Event> events = cluster.events(next, heartbeatMs);
                boolean told = false;
                for (Cluster.Event each : events) {
                    next = each.index() + 1;
                    if (fault != Fault.HEARTBEATS_ONLY && wanted(each, query.getOrDefault("topic", List.of("*")))) {
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

    private static boolean wanted(Cluster.Event event, List<String> topics) {
        for (String topic : topics) {
            String[] parts = topic.split(":", 2);
            if (parts[0].equals("*") || parts[0].equals(event.topic()) && (parts.length < 2 || parts[1].equals("*")
                    || parts[1].equals(event.key()) || event.keys().contains(parts[1]))) {
                return true;
            }
        }
        return false;
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

        void answer(int status, String fields, String body) throws IOException, InterruptedException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            write("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\nConnection: close\r\n\r\n" + body);
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
