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
import peppergauge.bodies.ledger.Bounds;
import peppergauge.bodies.spool.Disk;
import peppergauge.config.Config;
import peppergauge.request.LargeBodies;

/** A sidecar that takes long bodies, between backend servers by a script and clients on raw sockets. */
final class Rig implements Closeable {

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

    /** What a backend server does with one request. */
    interface Script {
        void answer(Asked asked) throws IOException;
    }

    /** A request of which the head was read. */
    record Asked(Rig rig, String head, InputStream in, OutputStream out, Socket socket) {

        String id() {
            return header("X-Txn");
        }

        String header(String name) {
            return Rig.header(head, name);
        }

        byte[] body() throws IOException {
            byte[] body = Rig.body(head, in);
            rig.whole.add(id());
            return body;
        }

        void say(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void ok(byte[] body, boolean chunked) throws IOException {
            say("HTTP/1.1 200 OK\r\n" + framed(body, chunked));
            write(out, body, chunked);
        }
    }

    /** Ids of the requests that came whole, each time that one did. */
    final List<String> whole = new CopyOnWriteArrayList<>();
    /** Requests that began. */
    final AtomicInteger begun = new AtomicInteger();
    /** Times that the process which ends was told that no long body is under way. */
    final AtomicInteger foundIdle = new AtomicInteger();

    final BodiesExtension addition;
    final Sidecar sidecar;
    volatile Script script;
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    /** It says that nothing has changed: a start would wait for one that says nothing. */
    private final ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    static BodiesSettings settings(Bounds keeps, Optional<Path> folder, List<String> keptOnly) {
        return new BodiesSettings(
                keeps.longest(),
                64 << 20,
                64 * KIB,
                4 << 20,
                64 * KIB,
                keeps,
                folder,
                keptOnly,
                16 * KIB,
                Duration.ofSeconds(8),
                Duration.ofSeconds(20));
    }

    /** The same, but who has stopped shows within a second: a machine that stalls for so long would pass for stopped. */
    static BodiesSettings hasty(BodiesSettings of) {
        return new BodiesSettings(
                of.longestRequest(),
                of.longestAnswer(),
                of.window(),
                of.windows(),
                of.socketBuffer(),
                of.keeps(),
                of.folder(),
                of.keptOnly(),
                of.leastRate(),
                Duration.ofMillis(600),
                of.finish());
    }

    /** 256 KiB a body in memory, 1 MiB a body in files, 4 MiB the longest. */
    static Bounds bounds() {
        return new Bounds(4 << 20, 256 * KIB, 8 << 20, 1 << 20, 64 << 20, 64, 1);
    }

    Rig(Script script, BodiesSettings settings, Disk disk) throws Exception {
        this(script, settings, disk, SETTINGS);
    }

    private Rig(Script script, BodiesSettings settings, Disk disk, String siteSettings) throws Exception {
        this.script = script;
        addition = new BodiesExtension(settings, disk);
        // Little of a body stands in the kernel's buffers: an end in its middle is then surely one.
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
        sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", file.toString())), watchingIdle());
        sidecar.start();
    }

    /** With deadlines that are shorter than the least time which a process takes to end. */
    static Rig shortDeadlines(Script script) throws Exception {
        return new Rig(
                script,
                settings(bounds(), Optional.of(Files.createTempDirectory("bodies")), List.of()),
                null,
                SETTINGS.replace("Ms\":60000", "Ms\":1000"));
    }

    /** The addition, with a count of how often its bodies were found idle by the process that ends. */
    private SidecarExtension watchingIdle() {
        ClassLoader loader = Rig.class.getClassLoader();
        return (SidecarExtension) Proxy.newProxyInstance(
                loader, new Class<?>[] {SidecarExtension.class}, (self, method, given) -> {
                    Object result = method.invoke(addition, given);
                    return !(result instanceof LargeBodies bodies)
                            ? result
                            : Proxy.newProxyInstance(
                                    loader,
                                    new Class<?>[] {LargeBodies.class},
                                    (same, called, with) -> called.getName().equals("whenIdle")
                                            ? called.invoke(bodies, (Runnable) () -> {
                                                foundIdle.incrementAndGet();
                                                ((Runnable) with[0]).run();
                                            })
                                            : called.invoke(bodies, with));
                });
    }

    static Rig hastyFiles(Script script) throws Exception {
        return new Rig(
                script, hasty(settings(bounds(), Optional.of(Files.createTempDirectory("bodies")), List.of())), null);
    }

    static Rig memory(Script script) throws Exception {
        return new Rig(
                script,
                settings(new Bounds(4 << 20, 256 * KIB, 8 << 20, 0, 0, 0, 1), Optional.empty(), List.of()),
                null);
    }

    static Rig files(Script script) throws Exception {
        return new Rig(script, settings(bounds(), Optional.of(Files.createTempDirectory("bodies")), List.of()), null);
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * KIB);
            for (String head = ScriptedServer.readHead(in); head != null; head = ScriptedServer.readHead(in)) {
                begun.incrementAndGet();
                script.answer(new Asked(this, head, in, socket.getOutputStream(), socket));
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

    static String ask(String kind, String id, String more) {
        return (kind.equals("list") ? "GET" : "POST") + " /" + kind + "/k HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                + "\r\nX-Org: acme\r\nX-Remaining-Ms: 5000\r\n" + more;
    }

    /** A whole request and its whole answer. */
    Answer post(String kind, String id, byte[] body, boolean chunked) throws IOException {
        try (Socket client = client()) {
            return post(client, kind, id, body, chunked);
        }
    }

    static Answer post(Socket client, String kind, String id, byte[] body, boolean chunked) throws IOException {
        send(client, ask(kind, id, framed(body, chunked)));
        try {
            write(client.getOutputStream(), body, chunked);
        } catch (IOException closed) {
            // It is answered before its end, and the rest is not wanted.
        }
        return Answer.read(client.getInputStream());
    }

    Answer get(String id) throws IOException {
        try (Socket client = client()) {
            send(client, ask("list", id, "\r\n"));
            return Answer.read(client.getInputStream());
        }
    }

    /** @param body null if it broke off */
    record Answer(int status, String head, byte[] body) {

        static Answer read(InputStream in) throws IOException {
            String head = ScriptedServer.readHead(in);
            while (head != null && head.startsWith("HTTP/1.1 1")) {
                head = ScriptedServer.readHead(in);
            }
            if (head == null) {
                return new Answer(0, "", null);
            }
            byte[] body;
            try {
                body = Rig.body(head, in);
            } catch (IOException broken) {
                body = null;
            }
            return new Answer(Integer.parseInt(head.split(" ")[1]), head, body);
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

    static String framed(byte[] body, boolean chunked) {
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

    /** All of it; an exception where it breaks off. */
    static byte[] body(String head, InputStream in) throws IOException {
        if (header(head, "Transfer-Encoding") == null) {
            String length = header(head, "Content-Length");
            byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            if (length != null && body.length < Integer.parseInt(length)) {
                throw new IOException("cut short at " + body.length);
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
                throw new IOException("cut short in a chunk");
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
                throw new IOException("cut short between chunks");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }

    // ---- Waiting ----

    long report(String key) throws Exception {
        return ((Number) addition.keeper().report().get(5, TimeUnit.SECONDS).get(key)).longValue();
    }

    /** Nothing is held for anybody any more. */
    void awaitNothingLeft() throws Exception {
        ScriptedServer.await("all is let go", 30, () -> report("open") + report("kept") + report("memory") + report("files") == 0);
    }

    /** Files are closed on a thread of their own, after the books that {@link #awaitNothingLeft} reads. */
    void awaitClosed(FakeDisk disk) throws Exception {
        ScriptedServer.await("all files are closed", 30, () -> disk.open.get() == 0);
    }

    static boolean same(byte[] a, byte[] b) {
        return Arrays.equals(a, b);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        discovery.close();
        sidecar.stop();
    }
}
