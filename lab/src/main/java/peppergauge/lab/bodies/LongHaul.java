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
 * Measures long bodies through a real daemon, by hand: {@code LongHaul pairs MIB} passes bodies both ways between fast
 * and slow ends and compares hashes; {@code LongHaul readers N MIB KIB_PER_S SECONDS} has N slow readers beside usual
 * sessions. Run from the checkout's root, with nothing beside it. docs/BODIES.md has what came out.
 */
public final class LongHaul {

    private static final int BLOCK = 64 * 1024;
    private static final double SLOW_PER_S = 20e6;
    private static final byte[] PATTERN = new byte[BLOCK];

    private final ServerSocket listener = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
    private final AtomicLong ids = new AtomicLong();
    private Process daemon;
    private int port;

    private LongHaul() throws IOException {
        new Random(1).nextBytes(PATTERN);
    }

    public static void main(String[] args) throws Exception {
        LongHaul haul = new LongHaul();
        haul.serve();
        haul.start();
        try {
            if (args[0].equals("pairs")) {
                haul.pairs(Long.parseLong(args[1]) << 20);
            } else {
                haul.readers(
                        Integer.parseInt(args[1]),
                        Long.parseLong(args[2]) << 20,
                        Double.parseDouble(args[3]) * 1024,
                        Integer.parseInt(args[4]));
            }
        } finally {
            haul.daemon.destroy();
        }
        System.exit(0);
    }

    // ---- The daemon ----

    private void start() throws Exception {
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
        for (int i = 0; i < 100; i++) {
            Thread.sleep(100);
            try (Socket up = new Socket(InetAddress.getLoopbackAddress(), port)) {
                send(up.getOutputStream(), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
                if (head(up.getInputStream()).contains(" 200 ")) {
                    return;
                }
            } catch (IOException notYet) {
                // It starts.
            }
        }
        throw new IOException("the daemon does not come up");
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

    /** Resident memory each 250 ms while this runs: least, mean, most, and each tenth of the time. */
    private final class Memory {

        private final List<Double> samples = new ArrayList<>();
        private final AtomicBoolean over = new AtomicBoolean();
        private final Thread thread = new Thread(() -> {
            while (!over.get()) {
                try {
                    samples.add(residentMb());
                    Thread.sleep(250);
                } catch (IOException | InterruptedException ended) {
                    return;
                }
            }
        });

        Memory() {
            thread.start();
        }

        String end() throws InterruptedException {
            over.set(true);
            thread.join();
            StringBuilder tenths = new StringBuilder();
            for (int i = 0; i <= 10 && !samples.isEmpty(); i++) {
                tenths.append(
                        String.format(" %.0f", samples.get(Math.min(samples.size() - 1, i * samples.size() / 10))));
            }
            return "resident MB by tenths of the time:" + tenths + ", most "
                    + String.format(
                            "%.0f",
                            samples.stream().mapToDouble(each -> each).max().orElse(0));
        }
    }

    // ---- Backend servers ----

    private void serve() {
        Thread accepting = new Thread(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    Thread thread = new Thread(() -> answerAll(socket));
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException over) {
                    return;
                }
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    /** {@code ?down=BYTES&slow=1}, or a body, whose hash is the answer. */
    private static void answerAll(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), BLOCK);
            OutputStream out = socket.getOutputStream();
            for (String head = head(in); head != null; head = head(in)) {
                String line = head.substring(0, head.indexOf('\r'));
                boolean slow = line.contains("slow=1");
                long length = number(head, "content-length:");
                if (length > 0) {
                    String hash = hash(in, length, slow ? SLOW_PER_S : 0);
                    send(out, "HTTP/1.1 200 OK\r\nContent-Length: " + hash.length() + "\r\n\r\n" + hash);
                } else {
                    long down = line.contains("down=") ? Long.parseLong(line.replaceAll(".*down=(\\d+).*", "$1")) : 1;
                    send(out, "HTTP/1.1 200 OK\r\nContent-Length: " + down + "\r\n\r\n");
                    write(out, down, slow ? SLOW_PER_S : 0);
                }
            }
        } catch (IOException closed) {
            // The other side is through.
        }
    }

    // ---- Bytes ----

    private static void write(OutputStream out, long length, double perS) throws IOException {
        long start = System.nanoTime();
        for (long done = 0; done < length; ) {
            int part = (int) Math.min(BLOCK, length - done);
            out.write(PATTERN, 0, part);
            done += part;
            keepTo(start, done, perS);
        }
    }

    private static String hash(InputStream in, long length, double perS) throws IOException {
        MessageDigest digest = sha();
        byte[] block = new byte[BLOCK];
        long start = System.nanoTime();
        for (long done = 0; done < length; ) {
            int read = in.read(block, 0, (int) Math.min(BLOCK, length - done));
            if (read < 0) {
                return "cut short at " + done;
            }
            digest.update(block, 0, read);
            done += read;
            keepTo(start, done, perS);
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    private static String expected(long length) {
        MessageDigest digest = sha();
        for (long done = 0; done < length; done += BLOCK) {
            digest.update(PATTERN, 0, (int) Math.min(BLOCK, length - done));
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    private static MessageDigest sha() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (java.security.NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }

    private static void keepTo(long startNs, long done, double perS) {
        if (perS > 0) {
            long ahead = (long) (done / perS * 1e9) - (System.nanoTime() - startNs);
            if (ahead > 0) {
                java.util.concurrent.locks.LockSupport.parkNanos(ahead);
            }
        }
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String head(InputStream in) throws IOException {
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

    private static long number(String head, String name) {
        return head.lines()
                .filter(line -> line.toLowerCase().startsWith(name))
                .mapToLong(line -> Long.parseLong(line.substring(name.length()).trim()))
                .findFirst()
                .orElse(0);
    }

    // ---- Clients ----

    private String ask(String kind, String query, String more) {
        return (kind.equals("list") ? "GET" : "POST") + " /" + kind + "/k" + query + " HTTP/1.1\r\nHost: h\r\nX-Txn: h"
                + ids.incrementAndGet() + "\r\nX-Org: acme\r\nX-Remaining-Ms: 600000\r\n" + more + "\r\n";
    }

    /** The hash that the far end had, or its status. */
    private String once(int to, boolean up, long length, boolean slowServer, boolean slowClient) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), to)) {
            OutputStream out = socket.getOutputStream();
            InputStream in = new BufferedInputStream(socket.getInputStream(), BLOCK);
            String slow = slowServer ? "slow=1" : "slow=0";
            if (up) {
                send(out, ask("gift", "?" + slow, "Content-Length: " + length + "\r\n"));
                write(out, length, slowClient ? SLOW_PER_S : 0);
            } else {
                send(out, ask("list", "?down=" + length + "&" + slow, ""));
            }
            String head = head(in);
            if (head == null || !head.contains(" 200 ")) {
                return String.valueOf(head).lines().findFirst().orElse("");
            }
            long told = number(head, "content-length:");
            return up
                    ? new String(in.readNBytes((int) told), StandardCharsets.ISO_8859_1)
                    : hash(in, told, slowClient ? SLOW_PER_S : 0);
        } catch (IOException broken) {
            return broken.toString();
        }
    }

    private void pairs(long length) throws Exception {
        String right = expected(length);
        for (boolean up : new boolean[] {false, true}) {
            for (int to : new int[] {port, listener.getLocalPort(), port}) {
                double cpu = cpuMs();
                Memory memory = new Memory();
                long start = System.nanoTime();
                String hash = once(to, up, length, false, false);
                double s = (System.nanoTime() - start) / 1e9;
                System.out.printf(
                        "%s, fast to fast, %s: %.0f MB/s, %.2f ms of CPU a MB, %s, %s%n",
                        up ? "up" : "down",
                        to == port ? "through the daemon" : "direct",
                        length / 1e6 / s,
                        (cpuMs() - cpu) / (length / 1e6),
                        hash.equals(right) ? "hash right" : "WRONG: " + hash,
                        memory.end());
            }
        }
        double cpu = cpuMs();
        Memory memory = new Memory();
        long start = System.nanoTime();
        List<CompletableFuture<String>> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            boolean up = i % 2 == 1;
            boolean slowServer = i / 2 != 0;
            boolean slowClient = i / 2 != 1;
            all.add(CompletableFuture.supplyAsync(
                    () -> (up ? "up" : "down") + ", " + (slowClient ? "slow" : "fast")
                            + " client, " + (slowServer ? "slow" : "fast") + " server: "
                            + (once(port, up, length, slowServer, slowClient).equals(right) ? "hash right" : "WRONG"),
                    task -> new Thread(task).start()));
        }
        for (CompletableFuture<String> each : all) {
            System.out.println(each.get());
        }
        System.out.printf(
                "all six at once: %.0f s, %.2f ms of CPU a MB, %s%n",
                (System.nanoTime() - start) / 1e9, (cpuMs() - cpu) / (6 * length / 1e6), memory.end());
    }

    private double[] usual(int seconds) throws Exception {
        List<Thread> threads = new ArrayList<>();
        List<Double> took = java.util.Collections.synchronizedList(new ArrayList<>());
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
                        send(socket.getOutputStream(), ask("list", "", ""));
                        String head = head(socket.getInputStream());
                        socket.getInputStream().readNBytes((int) number(head, "content-length:"));
                        if (head.contains(" 200 ")) {
                            took.add((System.nanoTime() - due) / 1e6);
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
        for (Thread each : threads) {
            each.join();
        }
        double[] sorted = took.stream().mapToDouble(each -> each).sorted().toArray();
        return new double[] {
            sorted[sorted.length / 2],
            sorted[sorted.length * 9 / 10],
            sorted[sorted.length * 99 / 100],
            sorted[sorted.length * 999 / 1000],
            failed.get()
        };
    }

    private void readers(int count, long length, double perS, int seconds) throws Exception {
        usual(8);
        System.out.println("usual sessions, 200 a second: median, 90th, 99th, 99.9th percentile in ms, not served");
        System.out.println("without: " + Arrays.toString(usual(15)));
        Memory memory = new Memory();
        double cpu = cpuMs();
        AtomicLong bytes = new AtomicLong();
        AtomicLong broken = new AtomicLong();
        AtomicLong denied = new AtomicLong();
        AtomicBoolean over = new AtomicBoolean();
        for (int i = 0; i < count; i++) {
            Thread thread = new Thread(() -> {
                try (Socket socket = new Socket()) {
                    socket.setReceiveBufferSize(BLOCK);
                    socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                    InputStream in = socket.getInputStream();
                    String head = "";
                    while (!head.contains(" 200 ")) {
                        // 200 at once are too much for a fleet that is not known yet: a denial says when to come back.
                        send(socket.getOutputStream(), ask("list", "?down=" + length, ""));
                        head = head(in);
                        denied.addAndGet(head.contains(" 200 ") ? 0 : 1);
                        Thread.sleep(head.contains(" 200 ") ? 0 : 100);
                    }
                    byte[] block = new byte[8 * 1024];
                    long start = System.nanoTime();
                    for (long done = 0; done < length && !over.get(); ) {
                        int read = in.read(block);
                        if (read < 0) {
                            throw new IOException("cut at " + done);
                        }
                        done += read;
                        bytes.addAndGet(read);
                        keepTo(start, done, perS);
                    }
                } catch (IOException | InterruptedException cut) {
                    broken.incrementAndGet();
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(3_000);
        System.out.println("with " + count + " readers: " + Arrays.toString(usual(seconds)));
        System.out.printf(
                "%.0f MB read, %d readers cut off, %d denials, %.2f ms of CPU a MB with the usual sessions, " + "%s%n",
                bytes.get() / 1e6, broken.get(), denied.get(), (cpuMs() - cpu) / (bytes.get() / 1e6), memory.end());
        over.set(true);
        Thread.sleep(1_000);
        System.out.println("and without again: " + Arrays.toString(usual(15)));
    }
}
