package peppergauge.lab.bodies;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import peppergauge.lab.process.SidecarProcess;

/**
 * Measures the forwarding of long bodies through a daemon process, as a program that is started manually:
 * {@code LongHaul pairs MIB} sends bodies in both directions between fast and slow ends and compares hashes;
 * {@code LongHaul readers N MIB KIB_PER_S SECONDS} measures short requests beside N slow readers. It is run from the
 * checkout's root on an otherwise idle machine. docs/BODIES.md has the results.
 */
public final class LongHaul {

    private static final int BLOCK_BYTES = 64 * 1024;
    private static final double SLOW_BYTES_PER_S = 20e6;
    private static final int START_CHECKS = 100;
    private static final int START_CHECK_INTERVAL_MS = 100;
    private static final String CONTENT_LENGTH = "content-length:";
    private static final byte[] PATTERN = new byte[BLOCK_BYTES];

    private final ServerSocket listener = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
    private final AtomicLong ids = new AtomicLong();
    private Process daemon;
    private int port;

    private LongHaul() throws IOException {
        new Random(1).nextBytes(PATTERN);
    }

    public static void main(String[] args) throws Exception {
        LongHaul measurement = new LongHaul();
        measurement.startBackend();
        measurement.startDaemon();
        try {
            if (args[0].equals("pairs")) {
                measurement.measurePairs(Long.parseLong(args[1]) << 20);
            } else {
                measurement.measureSlowReaders(
                        Integer.parseInt(args[1]),
                        Long.parseLong(args[2]) << 20,
                        Double.parseDouble(args[3]) * 1024,
                        Integer.parseInt(args[4]));
            }
        } finally {
            measurement.daemon.destroy();
        }
        System.exit(0);
    }

    private void startDaemon() throws Exception {
        Path file = Files.createTempFile("long-haul", ".toml");
        file.toFile().deleteOnExit();
        port = SidecarProcess.freeAddress().getPort();
        String settings = "{\"balancers\":1,\"me\":0,\"zone\":0,\"areas\":[\"z0\"],\"tickMs\":5,\"overShareWorth\":1,"
                + "\"registryMode\":\"automatic\",\"limits\":{\"cancelling\":true,\"connIdleMs\":800,"
                + "\"connectTimeoutMs\":200,\"maxRetryAfterMs\":1200,\"mayProbe\":false,\"mostTries\":4,"
                + "\"parallelTries\":false,\"retryAfter\":true},\"profiles\":[{\"name\":\"list\",\"aimMs\":600000,"
                + "\"deadlineMs\":600000,\"worth\":1,\"lateWorth\":0.3,\"effect\":\"idempotent\"},{\"name\":\"gift\","
                + "\"aimMs\":600000,\"deadlineMs\":600000,\"worth\":9,\"lateWorth\":0.3,\"effect\":\"at_most_once\"}],"
                + "\"report\":{\"how\":\"piggyback\",\"names\":[\"active\",\"waiting\",\"avg_ms\"]},\"rules\":{"
                + "\"coldShare\":0.3,\"coldMs\":100,\"tipMultiple\":2.5,\"fallMs\":3000},\"tenants\":[{\"name\":"
                + "\"acme\",\"quotaPerS\":100000}]}";
        StringBuilder servers = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            servers.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"s")
                    .append(i)
                    .append("\",\"addr\":\"127.0.0.1:")
                    .append(listener.getLocalPort())
                    .append("\",\"zone\":\"z0\",\"cell\":0,\"state\":\"active\",\"started_ms\":0}");
        }
        Files.writeString(
                file,
                "kind = \"daemon\"\n[sidecar]\nname = \"n\"\nlisten = \"127.0.0.1:" + port
                        + "\"\ndiscovery = \"127.0.0.1:1\"\nseed = \"8c1f30d27a5be964\"\nsockets = 4096\n"
                        + "known = '{\"version\":1,\"full\":true,\"servers\":[" + servers + "]}'\n"
                        + "settings = '" + settings + "'\n[bodies]\n"
                        + "longest-request = \"64 GiB\"\nlongest-answer = \"64 GiB\"\n"
                        + System.getProperty("bodies", "").replace(';', '\n') + "\n");
        daemon = new ProcessBuilder("bin/peppergauge", "daemon", "--config", file.toString())
                .redirectError(Path.of(System.getProperty("java.io.tmpdir"), "long-haul.err")
                        .toFile())
                .start();
        for (int i = 0; i < START_CHECKS; i++) {
            Thread.sleep(START_CHECK_INTERVAL_MS);
            try (Socket up = new Socket(InetAddress.getLoopbackAddress(), port)) {
                send(up.getOutputStream(), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
                if (readHead(up.getInputStream()).contains(" 200 ")) {
                    return;
                }
            } catch (IOException notYet) {
                // The daemon does not listen yet.
            }
        }
        throw new IOException("the daemon did not answer /up within " + START_CHECKS * START_CHECK_INTERVAL_MS + " ms");
    }

    private double cpuMs() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + daemon.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return 10.0 * (Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
    }

    private double residentMb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + daemon.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / 1024)
                .findFirst()
                .orElse(0);
    }

    /** Samples the daemon's resident memory until it is stopped; reports the maximum and the value at each tenth. */
    private final class MemorySampler {

        private static final int SAMPLE_INTERVAL_MS = 250;

        private final List<Double> samples = new ArrayList<>();
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final Thread thread = new Thread(() -> {
            while (!stopped.get()) {
                try {
                    samples.add(residentMb());
                    Thread.sleep(SAMPLE_INTERVAL_MS);
                } catch (IOException | InterruptedException ended) {
                    return;
                }
            }
        });

        MemorySampler() {
            thread.start();
        }

        String stop() throws InterruptedException {
            stopped.set(true);
            thread.join();
            StringBuilder tenths = new StringBuilder();
            for (int i = 0; i <= 10 && !samples.isEmpty(); i++) {
                tenths.append(
                        String.format(" %.0f", samples.get(Math.min(samples.size() - 1, i * samples.size() / 10))));
            }
            return "resident MB at each tenth of the time:" + tenths + ", maximum "
                    + String.format(
                            "%.0f", samples.stream().mapToDouble(mb -> mb).max().orElse(0));
        }
    }

    private void startBackend() {
        Thread acceptThread = new Thread(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    Thread thread = new Thread(() -> serveConnection(socket));
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException closed) {
                    return;
                }
            }
        });
        acceptThread.setDaemon(true);
        acceptThread.start();
    }

    /**
     * Serves requests of a connection. A request with a body gets the hash of the body; any other gets a body of the
     * length in {@code down=BYTES}. With {@code slow=1}, the body is transferred at a limited rate.
     */
    private static void serveConnection(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), BLOCK_BYTES);
            OutputStream out = socket.getOutputStream();
            for (String head = readHead(in); head != null; head = readHead(in)) {
                String line = head.substring(0, head.indexOf('\r'));
                boolean slow = line.contains("slow=1");
                long length = contentLength(head);
                if (length > 0) {
                    String hash = receiveAndHash(in, length, slow ? SLOW_BYTES_PER_S : 0);
                    send(out, "HTTP/1.1 200 OK\r\nContent-Length: " + hash.length() + "\r\n\r\n" + hash);
                } else {
                    long down = line.contains("down=") ? Long.parseLong(line.replaceAll(".*down=(\\d+).*", "$1")) : 1;
                    send(out, "HTTP/1.1 200 OK\r\nContent-Length: " + down + "\r\n\r\n");
                    write(out, down, slow ? SLOW_BYTES_PER_S : 0);
                }
            }
        } catch (IOException closed) {
            // The peer closed the connection.
        }
    }

    private static void write(OutputStream out, long length, double bytesPerS) throws IOException {
        long start = System.nanoTime();
        for (long done = 0; done < length; ) {
            int part = (int) Math.min(BLOCK_BYTES, length - done);
            out.write(PATTERN, 0, part);
            done += part;
            pace(start, done, bytesPerS);
        }
    }

    private static String receiveAndHash(InputStream in, long length, double bytesPerS) throws IOException {
        MessageDigest digest = sha256();
        byte[] block = new byte[BLOCK_BYTES];
        long start = System.nanoTime();
        for (long done = 0; done < length; ) {
            int read = in.read(block, 0, (int) Math.min(BLOCK_BYTES, length - done));
            if (read < 0) {
                return "truncated at " + done;
            }
            digest.update(block, 0, read);
            done += read;
            pace(start, done, bytesPerS);
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    private static String expectedHash(long length) {
        MessageDigest digest = sha256();
        for (long done = 0; done < length; done += BLOCK_BYTES) {
            digest.update(PATTERN, 0, (int) Math.min(BLOCK_BYTES, length - done));
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (java.security.NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }

    private static void pace(long startNs, long done, double bytesPerS) {
        if (bytesPerS > 0) {
            long ahead = (long) (done / bytesPerS * 1e9) - (System.nanoTime() - startNs);
            if (ahead > 0) {
                java.util.concurrent.locks.LockSupport.parkNanos(ahead);
            }
        }
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static long contentLength(String head) {
        return head.lines()
                .filter(line -> line.toLowerCase().startsWith(CONTENT_LENGTH))
                .mapToLong(line ->
                        Long.parseLong(line.substring(CONTENT_LENGTH.length()).trim()))
                .findFirst()
                .orElse(0);
    }

    private String requestHead(String requestClass, String query, String headers) {
        return (requestClass.equals("list") ? "GET" : "POST") + " /" + requestClass + "/k" + query
                + " HTTP/1.1\r\nHost: h\r\nX-Txn: h" + ids.incrementAndGet()
                + "\r\nX-Org: acme\r\nX-Remaining-Ms: 600000\r\n" + headers + "\r\n";
    }

    /** Transfers one body and returns the hash that the receiver computed, or the status line of a failed request. */
    private String transfer(int targetPort, boolean up, long length, boolean slowServer, boolean slowClient) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
            OutputStream out = socket.getOutputStream();
            InputStream in = new BufferedInputStream(socket.getInputStream(), BLOCK_BYTES);
            String slow = slowServer ? "slow=1" : "slow=0";
            if (up) {
                send(out, requestHead("gift", "?" + slow, "Content-Length: " + length + "\r\n"));
                write(out, length, slowClient ? SLOW_BYTES_PER_S : 0);
            } else {
                send(out, requestHead("list", "?down=" + length + "&" + slow, ""));
            }
            String head = readHead(in);
            if (head == null || !head.contains(" 200 ")) {
                return String.valueOf(head).lines().findFirst().orElse("");
            }
            long responseLength = contentLength(head);
            return up
                    ? new String(in.readNBytes((int) responseLength), StandardCharsets.ISO_8859_1)
                    : receiveAndHash(in, responseLength, slowClient ? SLOW_BYTES_PER_S : 0);
        } catch (IOException broken) {
            return broken.toString();
        }
    }

    private void measurePairs(long length) throws Exception {
        String expected = expectedHash(length);
        for (boolean up : new boolean[] {false, true}) {
            for (int targetPort : new int[] {port, listener.getLocalPort(), port}) {
                double cpu = cpuMs();
                MemorySampler memory = new MemorySampler();
                long start = System.nanoTime();
                String hash = transfer(targetPort, up, length, false, false);
                double s = (System.nanoTime() - start) / 1e9;
                System.out.printf(
                        "%s, fast to fast, %s: %.0f MB/s, %.2f ms of CPU per MB, %s, %s%n",
                        up ? "up" : "down",
                        targetPort == port ? "through the daemon" : "direct",
                        length / 1e6 / s,
                        (cpuMs() - cpu) / (length / 1e6),
                        hash.equals(expected) ? "hash correct" : "WRONG: " + hash,
                        memory.stop());
            }
        }
        double cpu = cpuMs();
        MemorySampler memory = new MemorySampler();
        long start = System.nanoTime();
        List<CompletableFuture<String>> transfers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            boolean up = i % 2 == 1;
            boolean slowServer = i / 2 != 0;
            boolean slowClient = i / 2 != 1;
            transfers.add(CompletableFuture.supplyAsync(
                    () -> (up ? "up" : "down") + ", " + (slowClient ? "slow" : "fast")
                            + " client, " + (slowServer ? "slow" : "fast") + " server: "
                            + (transfer(port, up, length, slowServer, slowClient)
                                            .equals(expected)
                                    ? "hash correct"
                                    : "WRONG"),
                    task -> new Thread(task).start()));
        }
        for (CompletableFuture<String> transfer : transfers) {
            System.out.println(transfer.get());
        }
        System.out.printf(
                "all six concurrently: %.0f s, %.2f ms of CPU per MB, %s%n",
                (System.nanoTime() - start) / 1e9, (cpuMs() - cpu) / (6 * length / 1e6), memory.stop());
    }

    /** Sends 200 short requests/s; returns the p50, p90, p99 and p99.9 latency in ms and the number of failures. */
    private double[] measureShortRequests(int seconds) throws Exception {
        List<Thread> threads = new ArrayList<>();
        List<Double> latenciesMs = java.util.Collections.synchronizedList(new ArrayList<>());
        AtomicLong failed = new AtomicLong();
        long start = System.nanoTime();
        for (int t = 0; t < 4; t++) {
            int number = t;
            Thread thread = new Thread(() -> {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    socket.setTcpNoDelay(true);
                    for (int i = 0; i < seconds * 50; i++) {
                        long due = start + (long) ((i * 4 + number) * 5e6);
                        java.util.concurrent.locks.LockSupport.parkNanos(Math.max(0, due - System.nanoTime()));
                        send(socket.getOutputStream(), requestHead("list", "", ""));
                        String head = readHead(socket.getInputStream());
                        socket.getInputStream().readNBytes((int) contentLength(head));
                        if (head.contains(" 200 ")) {
                            latenciesMs.add((System.nanoTime() - due) / 1e6);
                        } else {
                            failed.incrementAndGet();
                        }
                    }
                } catch (IOException broken) {
                    failed.incrementAndGet();
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        double[] sorted = latenciesMs.stream()
                .mapToDouble(latencyMs -> latencyMs)
                .sorted()
                .toArray();
        return new double[] {
            sorted[sorted.length / 2],
            sorted[sorted.length * 9 / 10],
            sorted[sorted.length * 99 / 100],
            sorted[sorted.length * 999 / 1000],
            failed.get()
        };
    }

    private void measureSlowReaders(int count, long length, double bytesPerS, int seconds) throws Exception {
        measureShortRequests(8);
        System.out.println("short requests, 200/s: p50, p90, p99, p99.9 in ms, failures");
        System.out.println("without readers: " + Arrays.toString(measureShortRequests(15)));
        MemorySampler memory = new MemorySampler();
        double cpu = cpuMs();
        AtomicLong bytes = new AtomicLong();
        AtomicLong broken = new AtomicLong();
        AtomicLong rejected = new AtomicLong();
        AtomicBoolean stopped = new AtomicBoolean();
        for (int i = 0; i < count; i++) {
            Thread thread = new Thread(() -> {
                try (Socket socket = new Socket()) {
                    socket.setReceiveBufferSize(BLOCK_BYTES);
                    socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                    InputStream in = socket.getInputStream();
                    String head = "";
                    while (!head.contains(" 200 ")) {
                        // Retries, since 200 concurrent requests exceed the capacity of servers that are not yet known.
                        send(socket.getOutputStream(), requestHead("list", "?down=" + length, ""));
                        head = readHead(in);
                        rejected.addAndGet(head.contains(" 200 ") ? 0 : 1);
                        Thread.sleep(head.contains(" 200 ") ? 0 : 100);
                    }
                    byte[] block = new byte[8 * 1024];
                    long start = System.nanoTime();
                    for (long done = 0; done < length && !stopped.get(); ) {
                        int read = in.read(block);
                        if (read < 0) {
                            throw new IOException("truncated at " + done);
                        }
                        done += read;
                        bytes.addAndGet(read);
                        pace(start, done, bytesPerS);
                    }
                } catch (IOException | InterruptedException failed) {
                    broken.incrementAndGet();
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(3_000);
        System.out.println("with " + count + " readers: " + Arrays.toString(measureShortRequests(seconds)));
        System.out.printf(
                "%.0f MB read, %d readers failed, %d rejections, %.2f ms of CPU per MB including short requests, %s%n",
                bytes.get() / 1e6, broken.get(), rejected.get(), (cpuMs() - cpu) / (bytes.get() / 1e6), memory.stop());
        stopped.set(true);
        Thread.sleep(1_000);
        System.out.println("without readers, repeated: " + Arrays.toString(measureShortRequests(15)));
    }
}
