package peppergauge.bodies;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import peppergauge.ScriptedServer;
import peppergauge.Sidecar;
import peppergauge.SidecarExtension;
import peppergauge.SidecarFixture;
import peppergauge.bodies.ledger.StorageLimits;
import peppergauge.bodies.spool.Disk;
import peppergauge.config.Config;
import peppergauge.request.LargeBodies;

/** A sidecar that accepts large bodies, with scripted backend servers and clients on raw sockets. */
final class LargeBodyFixture implements Closeable {

    static final int KIB = 1024;
    private static final String SETTINGS = """
            {"balancers":1,"me":0,"zone":0,"areas":["z0"],"tickMs":5,"overShareWorth":1,"registryMode":"automatic",
             "limits":{"cancelling":true,"connIdleMs":800,"connectTimeoutMs":200,"maxRetryAfterMs":1200,
                       "mayProbe":false,"mostTries":4,"parallelTries":false,"retryAfter":true},
             "profiles":[
               {"name":"list","aimMs":60000,"deadlineMs":60000,"worth":1,"lateWorth":0.3,"effect":"idempotent"},
               {"name":"save","aimMs":60000,"deadlineMs":60000,"worth":2,"lateWorth":0.3,"effect":"deduplicated",
                "group":"all","keyTtlMs":60000},
               {"name":"gift","aimMs":60000,"deadlineMs":60000,"worth":9,"lateWorth":0.3,"effect":"at_most_once"}],
             "report":{"how":"piggyback","names":["active","waiting","avg_ms"]},
             "rules":{"coldShare":0.3,"coldMs":100,"tipMultiple":2.5,"fallMs":3000},
             "tenants":[{"name":"acme","quotaPerS":1000},{"name":"other","quotaPerS":1000}]}
            """;

    /** The behaviour of a backend server on one request. */
    interface ResponseScript {
        void respond(ScriptedRequest request) throws IOException;
    }

    /** A request at a backend server, which has read its head. */
    record ScriptedRequest(LargeBodyFixture fixture, String head, InputStream in, OutputStream out, Socket socket) {

        String id() {
            return header("X-Txn");
        }

        String header(String name) {
            return LargeBodyFixture.header(head, name);
        }

        byte[] body() throws IOException {
            byte[] body = LargeBodyFixture.body(head, in);
            fixture.completedRequestIds.add(id());
            return body;
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void respondOk(byte[] body, boolean chunked) throws IOException {
            send("HTTP/1.1 200 OK\r\n" + headersAndBlankLine(body, chunked));
            write(out, body, chunked);
        }
    }

    /** The ids of the requests that servers received completely, one entry per receipt. */
    final List<String> completedRequestIds = new CopyOnWriteArrayList<>();
    /** Requests of which servers received the head. */
    final AtomicInteger startedRequests = new AtomicInteger();
    /** How often a graceful shutdown was notified that no large body is in transit. */
    final AtomicInteger idleNotifications = new AtomicInteger();

    final BodiesExtension extension;
    final Sidecar sidecar;
    volatile ResponseScript script;
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    /** Sends a heartbeat without updates; a start would wait for a server that sends nothing. */
    private final ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    static BodiesSettings settings(StorageLimits storage, Optional<Path> directory, List<String> bufferedOnlyClasses) {
        return new BodiesSettings(
                storage.maxBodyBytes(),
                64 << 20,
                64 * KIB,
                4 << 20,
                64 * KIB,
                storage,
                directory,
                bufferedOnlyClasses,
                16 * KIB,
                Duration.ofSeconds(8),
                Duration.ofSeconds(20));
    }

    /** The same with a stall window under a second. A pause of the machine for as long would count as a stall. */
    static BodiesSettings withShortStallWindow(BodiesSettings settings) {
        return new BodiesSettings(
                settings.maxRequestBytes(),
                settings.maxResponseBytes(),
                settings.maxWindowBytes(),
                settings.totalWindowBytes(),
                settings.socketBufferBytes(),
                settings.storage(),
                settings.directory(),
                settings.bufferedOnlyClasses(),
                settings.minBytesPerS(),
                Duration.ofMillis(600),
                settings.shutdownGrace());
    }

    /** Per body 256 KiB in memory, 1 MiB in a file, and 4 MiB at most. */
    static StorageLimits defaultLimits() {
        return new StorageLimits(4 << 20, 256 * KIB, 8 << 20, 1 << 20, 64 << 20, 64, 1);
    }

    LargeBodyFixture(ResponseScript script, BodiesSettings settings, Disk disk) throws Exception {
        this(script, settings, disk, SETTINGS);
    }

    private LargeBodyFixture(ResponseScript script, BodiesSettings settings, Disk disk, String siteSettings)
            throws Exception {
        this.script = script;
        extension = new BodiesExtension(settings, disk);
        // Small kernel buffers, so that a connection closed during a body is closed before its last byte was written.
        listener.setReceiveBufferSize(64 * KIB);
        ScriptedServer.startDaemonThread(() -> {
            while (true) {
                Socket socket = listener.accept();
                ScriptedServer.startDaemonThread(() -> serve(socket));
            }
        });
        ScriptedServer.startDaemonThread(() -> {
            Socket watch = discovery.accept();
            watch.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n".getBytes());
            watch.getInputStream().transferTo(OutputStream.nullOutputStream());
        });
        String address = "127.0.0.1:" + listener.getLocalPort();
        Path file = Files.createTempFile("bodies", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(
                file,
                SidecarFixture.configJson(
                                "127.0.0.1:" + discovery.getLocalPort(),
                                1_200,
                                SidecarFixture.endpointUpdate(
                                        1,
                                        true,
                                        Stream.of("s0", "s1", "s2", "s3")
                                                .map(id -> SidecarFixture.endpointJson(id, address, "active"))
                                                .toList()))
                        .replace(SidecarFixture.SETTINGS, siteSettings));
        sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", file.toString())), countingIdleNotifications());
        sidecar.start();
    }

    /** With deadlines shorter than the minimum duration of a graceful shutdown. */
    static LargeBodyFixture withShortDeadlines(ResponseScript script) throws Exception {
        return new LargeBodyFixture(
                script,
                settings(defaultLimits(), Optional.of(Files.createTempDirectory("bodies")), List.of()),
                null,
                SETTINGS.replace("Ms\":60000", "Ms\":1000"));
    }

    /** The extension, with its idle notifications counted. */
    private SidecarExtension countingIdleNotifications() {
        ClassLoader loader = LargeBodyFixture.class.getClassLoader();
        return (SidecarExtension) Proxy.newProxyInstance(
                loader, new Class<?>[] {SidecarExtension.class}, (proxy, method, arguments) -> {
                    Object result = method.invoke(extension, arguments);
                    return !(result instanceof LargeBodies bodies)
                            ? result
                            : Proxy.newProxyInstance(
                                    loader,
                                    new Class<?>[] {LargeBodies.class},
                                    (bodiesProxy, called, calledWith) ->
                                            called.getName().equals("whenIdle")
                                                    ? called.invoke(bodies, (Runnable) () -> {
                                                        idleNotifications.incrementAndGet();
                                                        ((Runnable) calledWith[0]).run();
                                                    })
                                                    : called.invoke(bodies, calledWith));
                });
    }

    static LargeBodyFixture filesWithShortStallWindow(ResponseScript script) throws Exception {
        return new LargeBodyFixture(
                script,
                withShortStallWindow(
                        settings(defaultLimits(), Optional.of(Files.createTempDirectory("bodies")), List.of())),
                null);
    }

    static LargeBodyFixture memoryOnly(ResponseScript script) throws Exception {
        return new LargeBodyFixture(
                script,
                settings(new StorageLimits(4 << 20, 256 * KIB, 8 << 20, 0, 0, 0, 1), Optional.empty(), List.of()),
                null);
    }

    static LargeBodyFixture withFiles(ResponseScript script) throws Exception {
        return new LargeBodyFixture(
                script, settings(defaultLimits(), Optional.of(Files.createTempDirectory("bodies")), List.of()), null);
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * KIB);
            for (String head = ScriptedServer.readHead(in); head != null; head = ScriptedServer.readHead(in)) {
                startedRequests.incrementAndGet();
                script.respond(new ScriptedRequest(this, head, in, socket.getOutputStream(), socket));
            }
        }
    }

    // ---- Clients ----

    Socket client() throws IOException {
        Socket client =
                new Socket(InetAddress.getLoopbackAddress(), sidecar.address().getPort());
        client.setSoTimeout(20_000);
        return client;
    }

    static String requestHead(String requestClass, String id, String more) {
        return (requestClass.equals("list") ? "GET" : "POST") + " /" + requestClass
                + "/k HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining-Ms: 5000\r\n" + more;
    }

    /** Sends a complete request and reads its response. */
    Response post(String requestClass, String id, byte[] body, boolean chunked) throws IOException {
        try (Socket client = client()) {
            return post(client, requestClass, id, body, chunked);
        }
    }

    static Response post(Socket client, String requestClass, String id, byte[] body, boolean chunked)
            throws IOException {
        send(client, requestHead(requestClass, id, headersAndBlankLine(body, chunked)));
        try {
            write(client.getOutputStream(), body, chunked);
        } catch (IOException closed) {
            // The response was sent before the end of the request, and the rest of the request is not read.
        }
        return Response.read(client.getInputStream());
    }

    Response get(String id) throws IOException {
        try (Socket client = client()) {
            send(client, requestHead("list", id, "\r\n"));
            return Response.read(client.getInputStream());
        }
    }

    /** @param body null if it was truncated */
    record Response(int status, String head, byte[] body) {

        static Response read(InputStream in) throws IOException {
            String head = ScriptedServer.readHead(in);
            while (head != null && head.startsWith("HTTP/1.1 1")) {
                head = ScriptedServer.readHead(in);
            }
            if (head == null) {
                return new Response(0, "", null);
            }
            byte[] body;
            try {
                body = LargeBodyFixture.body(head, in);
            } catch (IOException broken) {
                body = null;
            }
            return new Response(Integer.parseInt(head.split(" ")[1]), head, body);
        }
    }

    // ---- Messages ----

    static byte[] pattern(int length, int seed) {
        byte[] body = new byte[length];
        new java.util.Random(seed).nextBytes(body);
        return body;
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static String headersAndBlankLine(byte[] body, boolean chunked) {
        return (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length) + "\r\n\r\n";
    }

    static void write(OutputStream out, byte[] body, boolean chunked) throws IOException {
        if (!chunked) {
            out.write(body);
            return;
        }
        for (int at = 0, step = 1;
                at < body.length;
                at += step, step = Math.min(body.length - at, step * 3 % 50_000 + 1)) {
            out.write((Integer.toHexString(step) + ";x=y\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, at, step);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    static String header(String head, String name) {
        return new ScriptedServer.Request(head, null).header(name);
    }

    /**
     * Reads a complete body.
     *
     * @throws IOException if it is truncated
     */
    static byte[] body(String head, InputStream in) throws IOException {
        if (header(head, "Transfer-Encoding") == null) {
            String length = header(head, "Content-Length");
            byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            if (length != null && body.length < Integer.parseInt(length)) {
                throw new IOException("body is truncated at byte " + body.length + ", expected " + length);
            }
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            int length = Integer.parseInt(size.split(";")[0], 16);
            byte[] part = in.readNBytes(length);
            body.write(part);
            if (part.length < length) {
                throw new IOException("body is truncated within a chunk");
            }
            String end = line(in);
            if (length == 0) {
                while (!end.isEmpty()) {
                    end = line(in);
                }
                return body.toByteArray();
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("body is truncated between chunks");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }

    // ---- Waiting ----

    long report(String key) throws Exception {
        return ((Number) extension
                        .largeBodies()
                        .report()
                        .get(5, TimeUnit.SECONDS)
                        .get(key))
                .longValue();
    }

    /** Waits until no flow is open and no body is stored. */
    void awaitAllReleased() throws Exception {
        ScriptedServer.await(
                "all storage is released",
                30,
                () -> report("open") + report("kept") + report("memory") + report("files") == 0);
    }

    /** Waits for files to be closed, which the spool thread does after the accounts of {@link #awaitAllReleased}. */
    void awaitFilesClosed(InMemoryDisk disk) throws Exception {
        ScriptedServer.await("all files are closed", 30, () -> disk.openFiles.get() == 0);
    }

    static boolean equalBytes(byte[] a, byte[] b) {
        return Arrays.equals(a, b);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        discovery.close();
        sidecar.stop();
    }
}
