package peppergauge.cost;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A sidecar's process, alone in a process group and pinned to one CPU. */
final class SidecarProcess implements Closeable {

    /** From the command's start until /up said 200, or from SIGTERM to the end. */
    record Took(double wallMs, double cpuMs) { }

    private static final long LONGEST_START_NS = 30_000_000_000L;
    private static final long LONGEST_STOP_NS = 10_000_000_000L;
    /** Asking costs nothing while nobody listens, and the sidecar's own CPU as soon as it does. */
    private static final long REFUSED_PAUSE_MS = 2;
    private static final long UNREADY_PAUSE_MS = 10;
    private static final byte[] UP =
            "GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final InetSocketAddress listen;
    private final Path directory;
    private final Process process;
    private final Throttle throttle;
    private final long startedNs;

    /** The settings come from the example, the rest is told here. */
    SidecarProcess(Options options, Map<String, Object> example, StandIns standIns) throws IOException {
        listen = freeAddress();
        directory = Files.createTempDirectory("cost");
        Map<String, Object> config = new LinkedHashMap<>(example);
        config.put("listen", StandIns.text(listen));
        config.put("discovery", StandIns.text(standIns.discovery()));
        config.put("known", standIns.table(Example.zone(example)));
        Path file = Files.writeString(directory.resolve("config.json"), Json.text(config));
        ProcessBuilder builder = new ProcessBuilder("setsid", "taskset", "-c", Integer.toString(options.cpu()),
                "/bin/sh", "-c", options.run());
        builder.directory(options.checkout().toFile());
        builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("TMPDIR", directory.toString());
        builder.redirectErrorStream(true).redirectOutput(log().toFile());
        startedNs = System.nanoTime();
        process = builder.start();
        throttle = options.quota() < 1 ? new Throttle(process.pid(), options.quota()) : null;
    }

    /** Free now; in the rare case that something else gets it meanwhile the start fails and says so. */
    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    private Path log() {
        return directory.resolve("log");
    }

    InetSocketAddress address() {
        return listen;
    }

    Usage usage() {
        return Usage.of(process.toHandle());
    }

    /** Waits until /up says 200. */
    Took awaitUp() throws IOException, InterruptedException {
        while (true) {
            String status = askUp();
            long tookNs = System.nanoTime() - startedNs;
            if (status.equals("200")) {
                return new Took(tookNs / 1e6, Usage.cpuMs(process.toHandle()));
            }
            if (!process.isAlive() || tookNs > LONGEST_START_NS) {
                throw new IOException("the sidecar did not come up; its log:\n" + Proc.read(log()));
            }
            TimeUnit.MILLISECONDS.sleep(status.isEmpty() ? REFUSED_PAUSE_MS : UNREADY_PAUSE_MS);
        }
    }

    private String askUp() {
        try (Socket socket = new Socket()) {
            socket.connect(listen, 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(UP);
            String head = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
            return head.substring(Math.min(9, head.length()));
        } catch (IOException refused) {
            return "";
        }
    }

    /** SIGTERM, and waits for the end. The CPU time is the last that was seen, up to 2 ms before. */
    Took terminate() throws IOException, InterruptedException {
        long startNs = System.nanoTime();
        double beforeMs = Usage.cpuMs(process.toHandle());
        double cpuMs = beforeMs;
        program().destroy();
        while (!process.waitFor(2, TimeUnit.MILLISECONDS)) {
            cpuMs = Math.max(cpuMs, Usage.cpuMs(process.toHandle()));
            if (System.nanoTime() - startNs > LONGEST_STOP_NS) {
                throw new IOException("the sidecar did not end; its log:\n" + Proc.read(log()));
            }
        }
        return new Took((System.nanoTime() - startNs) / 1e6, cpuMs - beforeMs);
    }

    /** The program, not a shell round it. */
    private ProcessHandle program() {
        Proc.Stat stat = Proc.stat(Proc.process(process.pid()));
        boolean shell = stat != null && List.of("sh", "dash", "bash").contains(stat.name());
        return shell ? process.toHandle().children().findFirst().orElse(process.toHandle()) : process.toHandle();
    }

    /** Kills what is left of it. */
    @Override
    public void close() throws IOException {
        if (throttle != null) {
            throttle.close();
        }
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
        for (String name : List.of("config.json", "log")) {
            Files.deleteIfExists(directory.resolve(name));
        }
        // What the program left in its TMPDIR stays.
        String[] left = directory.toFile().list();
        if (left != null && left.length == 0) {
            Files.delete(directory);
        }
    }
}
