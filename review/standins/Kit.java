import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Shared by the cases: the record, the sidecar's process, and small HTTP/1.1 stand-ins on loopback. */
final class Kit {

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final long START = System.nanoTime();
    private static final List<Process> STARTED = new ArrayList<>();
    private static BufferedWriter record;

    private Kit() {}

    // ---- Record ----

    static void open(Path file) throws IOException {
        record = Files.newBufferedWriter(file);
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
        log("run", "trouble", TROUBLE ? 1 : 0);
    }

    static double ms() {
        return (System.nanoTime() - START) / 1e6;
    }

    /** Writes one line: time in ms, what, and pairs of names and values. */
    static void log(String what, Object... pairs) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%10.1f %s", ms(), what));
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        synchronized (Kit.class) {
            try {
                record.write(line.append('\n').toString());
                record.flush();
            } catch (IOException closed) {
                // The run is over.
            }
        }
    }

    /** Exit code of this process for a broken rule: Java itself ends with 1 when it cannot run. */
    private static final int BROKEN = 11;

    /** Ends the run: 0 the rule held, 1 it was broken, 2 the case could not run. The script passes these codes on. */
    static void exit(int code, String text) {
        log("verdict", "exit", code, "text", text);
        System.out.println(text);
        endAll();
        Runtime.getRuntime().halt(code == 1 ? BROKEN : code);
    }

    static synchronized void endAll() {
        for (Process process : STARTED) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
    }

    static void sleep(double ms) {
        try {
            TimeUnit.NANOSECONDS.sleep((long) (ms * 1e6));
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread start(String name, Body body) {
        Thread thread = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (IOException ended) {
                        // The peer has gone.
                    } catch (InterruptedException ended) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws IOException, InterruptedException;
    }

    // ---- The sidecar ----

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** Starts the command {@code run} of the deploy file as the platform does: /bin/sh -c, from the root. */
    static Process startSidecar(Path root, Path folder, String name, String config, int port, int discoveryPort)
            throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        Path temporary = Files.createDirectories(folder.resolve(name + "-tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1).replace("\\\"", "\""));
        builder.directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(key -> key.startsWith("GW_") || key.startsWith("JDK_JAVA") || key.startsWith("JAVA_TOOL"));
        environment.put("GW_CONFIG", file.toString());
        environment.put("GW_NAME", name);
        environment.put("GW_LISTEN", "127.0.0.1:" + port);
        environment.put("GW_DISCOVERY", "127.0.0.1:" + discoveryPort);
        environment.put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(new File(folder.toFile(), name + ".log"));
        Process process = builder.start();
        synchronized (Kit.class) {
            STARTED.add(process);
        }
        log("sidecar_started", "name", name, "pid", process.pid(), "listen", port);
        return process;
    }

    /** Starts the command {@code sim} of the deploy file, whose standard streams are the wire. */
    static Process startAdapter(Path root, Path folder) throws IOException {
        Matcher sim = Pattern.compile("(?m)^sim = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!sim.find()) {
            throw new IOException("deploy/balancer.toml has no sim");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", sim.group(1).replace("\\\"", "\""));
        builder.directory(root.toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("JDK_JAVA") || key.startsWith("JAVA_TOOL"));
        builder.redirectError(new File(folder.toFile(), "adapter.log"));
        Process process = builder.start();
        synchronized (Kit.class) {
            STARTED.add(process);
        }
        log("adapter_started", "pid", process.pid());
        return process;
    }

    /** Waits until GET /up is answered with 200. */
    static boolean awaitReady(int port, double timeoutMs) {
        double end = ms() + timeoutMs;
        while (ms() < end) {
            try (Connection connection = new Connection(port)) {
                connection.socket.setSoTimeout(1000);
                connection.send("GET /up HTTP/1.1\r\nHost: sidecar\r\n\r\n");
                Message answer = connection.read();
                if (answer != null && answer.status() == 200) {
                    return true;
                }
            } catch (IOException notYet) {
                // Tries again.
            }
            sleep(50);
        }
        return false;
    }

    // ---- HTTP ----

    /** One message: its first line, headers by lower-case name, and body. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        int status() {
            String[] words = first.split(" ");
            return words.length > 1 ? Integer.parseInt(words[1]) : 0;
        }

        String path() {
            return first.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(int port) throws IOException {
            this(connect(port));
        }

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 16384);
            out = socket.getOutputStream();
        }

        private static Socket connect(int port) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            return socket;
        }

        void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        private String line() throws IOException {
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                if (next != '\r') {
                    text.write(next);
                }
            }
            return text.toString(StandardCharsets.ISO_8859_1);
        }

        /** Reads a message with a Content-Length, with chunks or without a body; null at the end of the stream. */
        Message read() throws IOException {
            Message message = new Message();
            message.first = line();
            if (message.first == null) {
                return null;
            }
            for (String line = line(); ; line = line()) {
                if (line == null) {
                    return null;
                }
                if (line.isEmpty()) {
                    break;
                }
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                while (true) {
                    String size = line();
                    if (size == null) {
                        return null;
                    }
                    int length = Integer.parseInt(size.trim(), 16);
                    byte[] chunk = in.readNBytes(length);
                    if (chunk.length < length || line() == null) {
                        return null;
                    }
                    if (length == 0) {
                        break;
                    }
                    body.write(chunk);
                }
                message.body = body.toByteArray();
            } else if (message.headers.containsKey("content-length")) {
                int length = Integer.parseInt(message.header("content-length"));
                message.body = in.readNBytes(length);
                if (message.body.length < length) {
                    return null;
                }
            }
            return message;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ended) {
                // It is closed.
            }
        }
    }

    /** Accepts connections on a free port and handles each on a thread of its own. */
    static ServerSocket listen(String name, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 1024, LOOPBACK);
        start(name, () -> {
            while (true) {
                Socket accepted = listener.accept();
                start(name + "-connection", () -> {
                    try (Connection connection = new Connection(accepted)) {
                        handler.handle(connection);
                    }
                });
            }
        });
        return listener;
    }

    interface Handler {
        void handle(Connection connection) throws IOException, InterruptedException;
    }

    static String response(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n" + body;
    }

    // ---- Discovery ----

    /** One entry of the list. */
    static String entry(String id, int port, String zone, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"gen-a\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    static String list(long version, boolean full, List<String> entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    /** Sends one chunk of an answer that stays open. */
    static void chunk(Connection connection, String text) throws IOException {
        connection.send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** A discovery whose list does not change: each watch gets the whole list, then an empty line every 2 s. */
    static ServerSocket steadyDiscovery(String list) throws IOException {
        return listen("discovery", connection -> {
            Message request = connection.read();
            if (request == null) {
                return;
            }
            connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            chunk(connection, list + "\n");
            while (true) {
                sleep(2000);
                chunk(connection, "\n");
            }
        });
    }

    /** The settings of a small deployment, as on the wire page. */
    static String settings(String classes) {
        return "{\"balancers\":3,\"me\":0,\"zone\":0,\"areas\":[\"dongsan-north\",\"hanul-bay\"],\"models\":[\"gen-a\"],"
                + "\"tickMs\":5.0,\"registryMode\":\"automatic\",\"overShareWorth\":0.05,\"valueBy\":\"request\","
                + "\"weights\":\"nominal\",\"workload\":\"mesh\",\"clients\":{\"marksRetry\":false},"
                + "\"charges\":{\"connection\":0.08,\"crossZone\":0.013,\"handshake\":0.08,\"lateFail\":0.032,\"probe\":0.0018,\"waste\":0.04},"
                + "\"limits\":{\"cancelling\":true,\"connIdleMs\":10000.0,\"connectTimeoutMs\":200.0,\"maxOpen\":26666,"
                + "\"maxRetryAfterMs\":1200.0,\"mayProbe\":true,\"mostTries\":4,\"parallelTries\":false,\"peerMessages\":false,"
                + "\"retryAfter\":true,\"streamsPerConn\":1},"
                + "\"profiles\":[" + classes + "],"
                + "\"report\":{\"how\":\"piggyback\",\"names\":[\"active\",\"waiting\",\"avg_ms\"]},"
                + "\"rules\":{\"answerSlackMs\":20.0,\"coldMs\":8700.0,\"coldShare\":0.32,\"drainGraceMs\":1000.0,\"fallMs\":3000.0,\"tipMultiple\":2.5},"
                + "\"tenants\":[{\"name\":\"dongsan-fm\",\"quotaPerS\":850.0,\"share\":1.0}]}";
    }

    static final String CLASSES =
            "{\"name\":\"resume-save\",\"aimMs\":500.0,\"deadlineMs\":2500.0,\"worth\":5.0,\"lateWorth\":0.25,\"effect\":\"idempotent\",\"group\":\"all\",\"keyTtlMs\":5000.0,\"stream\":false},"
                    + "{\"name\":\"episode-list\",\"aimMs\":400.0,\"deadlineMs\":1000.0,\"worth\":1.0,\"lateWorth\":0.3,\"effect\":\"idempotent\",\"group\":\"all\",\"keyTtlMs\":5000.0,\"stream\":false},"
                    + "{\"name\":\"donation\",\"aimMs\":400.0,\"deadlineMs\":2000.0,\"worth\":10.0,\"lateWorth\":0.25,\"effect\":\"at_most_once\",\"group\":\"all\",\"keyTtlMs\":5000.0,\"stream\":false}";

    static String config(String name, int port, int discoveryPort, String known, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + known + ",\"settings\":" + settings + "}";
    }
}
