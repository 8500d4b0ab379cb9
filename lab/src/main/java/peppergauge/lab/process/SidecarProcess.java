package peppergauge.lab.process;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import peppergauge.lab.wire.Listener;

/** A sidecar in a process group of its own, optionally pinned to one CPU or limited to a share of CPU time. */
public final class SidecarProcess implements Closeable {

    /** Ports below those that the system gives to connections, which could take a port before it is listened on. */
    private static final int FIRST_PORT = 10_000;

    private static final int LAST_PORT = 32_000;
    private static final int MAX_PORT_TRIES = 100;

    /**
     * How to start the sidecar.
     *
     * @param checkout the directory in which the command is run
     * @param run a shell command, as in {@code deploy/balancer.toml}; {@code {dir}} is replaced by the directory of its
     *         files
     * @param cpu the CPU that it may use; -1 for all
     * @param quota share of time during which it may run, above 0 and at most 1
     */
    public record Launch(Path checkout, String run, int cpu, double quota) {}

    /** Time from the start of the command until /up returned 200, or from SIGTERM until the process ended, in ms. */
    public record StartTimes(double wallMs, double cpuMs) {}

    private static final long MAX_START_NS = 30_000_000_000L;
    private static final long MAX_STOP_NS = 10_000_000_000L;
    /** Polling costs nothing while nobody listens, and CPU time of the sidecar as soon as it listens. */
    private static final long REFUSED_POLL_MS = 2;

    private static final long UNREADY_POLL_MS = 10;
    private static final String CONFIG = "config.json";
    private static final String DIRECTORY_PLACEHOLDER = "{dir}";

    private final InetSocketAddress listen;
    private final List<String> fileNames;
    private final Path folder;
    private final ManagedProcess program;
    private final Process process;
    private final CpuThrottle throttle;
    private final long startedNs;

    /**
     * Starts a sidecar.
     *
     * @param config in the form of {@code GW_CONFIG}, without {@code listen}
     * @throws IOException if it cannot be started
     */
    public SidecarProcess(Launch launch, InetSocketAddress listen, Map<String, Object> config) throws IOException {
        this(launch, listen, config, Map.of());
    }

    /**
     * Starts a sidecar with further files next to its configuration.
     *
     * @param files texts by name; {@code {dir}} in them is replaced by their directory
     * @throws IOException if it cannot be started
     */
    public SidecarProcess(
            Launch launch, InetSocketAddress listen, Map<String, Object> config, Map<String, String> files)
            throws IOException {
        this.listen = listen;
        folder = Files.createTempDirectory("sidecar");
        program = new ManagedProcess("sidecar", folder, Optional.empty());
        Path directory = Files.createDirectories(program.dataDirectory());
        fileNames = List.copyOf(files.keySet());
        for (Map.Entry<String, String> each : files.entrySet()) {
            Files.writeString(
                    directory.resolve(each.getKey()),
                    each.getValue().replace(DIRECTORY_PLACEHOLDER, directory.toString()));
        }
        Map<String, Object> configuration = new LinkedHashMap<>(config);
        configuration.put("listen", Listener.text(listen));
        Path file = directory.resolve(CONFIG);
        new JsonMapper().writeValue(file.toFile(), configuration);
        List<String> command = new ArrayList<>();
        if (launch.cpu() >= 0) {
            command.addAll(List.of("taskset", "-c", Integer.toString(launch.cpu())));
        }
        command.addAll(List.of("/bin/sh", "-c", launch.run()));
        startedNs = System.nanoTime();
        program.start(new ManagedProcess.Command(command, launch.checkout(), Map.of("GW_CONFIG", file.toString())));
        process = program.process();
        throttle = launch.quota() < 1 ? new CpuThrottle(process.pid(), launch.quota()) : null;
    }

    /**
     * Returns an address whose port is free. In the rare case that another program takes the port meanwhile, the start
     * of the sidecar fails with an error.
     */
    public static InetSocketAddress freeAddress() throws IOException {
        return freeAddress(InetAddress.getLoopbackAddress());
    }

    /** Returns an address with a free port on another loopback address that nothing else uses. */
    public static InetSocketAddress freeAddress(InetAddress host) throws IOException {
        SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
        for (int tries = 1; ; tries++) {
            int port = random.nextInt(FIRST_PORT, LAST_PORT + 1);
            try (ServerSocket probe = new ServerSocket(port, 1, host)) {
                return (InetSocketAddress) probe.getLocalSocketAddress();
            } catch (BindException taken) {
                if (tries == MAX_PORT_TRIES) {
                    throw taken;
                }
            }
        }
    }

    public InetSocketAddress address() {
        return listen;
    }

    /** Returns the resource usage of the process and its descendants. */
    public Usage usage() {
        return Usage.of(process.toHandle());
    }

    /**
     * Waits until /up returns 200.
     *
     * @throws IOException with the sidecar's log if the process ends before or this takes 30 s
     */
    public StartTimes awaitUp() throws IOException, InterruptedException {
        while (true) {
            String status = ReadinessProbe.requestStatus(listen, "/up");
            long tookNs = System.nanoTime() - startedNs;
            if (status.equals(ReadinessProbe.OK)) {
                return new StartTimes(tookNs / 1e6, Usage.cpuMs(process.toHandle()));
            }
            if (!process.isAlive() || tookNs > MAX_START_NS) {
                String problem = process.isAlive()
                        ? "was not ready after " + MAX_START_NS / 1_000_000_000 + " s"
                        : "ended before it was ready";
                throw new IOException("the sidecar " + problem + "; its log:\n" + program.readLog());
            }
            TimeUnit.MILLISECONDS.sleep(status.isEmpty() ? REFUSED_POLL_MS : UNREADY_POLL_MS);
        }
    }

    /**
     * Sends SIGTERM and waits for the end of the process. The CPU time is the last one read, up to 2 ms before the end.
     *
     * @throws IOException with the sidecar's log if this takes 10 s
     */
    public StartTimes terminate() throws IOException, InterruptedException {
        long startNs = System.nanoTime();
        double beforeMs = Usage.cpuMs(process.toHandle());
        double cpuMs = beforeMs;
        sidecarProcess().destroy();
        while (!process.waitFor(2, TimeUnit.MILLISECONDS)) {
            cpuMs = Math.max(cpuMs, Usage.cpuMs(process.toHandle()));
            if (System.nanoTime() - startNs > MAX_STOP_NS) {
                throw new IOException("the sidecar did not end within " + MAX_STOP_NS / 1_000_000_000
                        + " s after SIGTERM; its log:\n" + program.readLog());
            }
        }
        return new StartTimes((System.nanoTime() - startNs) / 1e6, cpuMs - beforeMs);
    }

    /** Returns the sidecar's process and not that of a shell around it. */
    private ProcessHandle sidecarProcess() {
        ProcFiles.Stat stat = ProcFiles.stat(ProcFiles.process(process.pid()));
        boolean shell = stat != null && List.of("sh", "dash", "bash").contains(stat.name());
        return shell ? process.toHandle().children().findFirst().orElse(process.toHandle()) : process.toHandle();
    }

    /** Pauses or resumes the process. */
    public void pause(boolean now) throws IOException {
        if (throttle != null) {
            throttle.setPaused(now);
            return;
        }
        program.signal(now ? ManagedProcess.Signal.STOP : ManagedProcess.Signal.CONT);
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the log written so far. */
    public String said() {
        return program.readLog();
    }

    /** Kills the process and deletes the files that were created for it. */
    @Override
    public void close() throws IOException {
        if (throttle != null) {
            throttle.close();
        }
        program.close();
        List<Path> own = new ArrayList<>(
                fileNames.stream().map(program.dataDirectory()::resolve).toList());
        own.addAll(List.of(program.dataDirectory().resolve(CONFIG), program.log()));
        for (Path file : own) {
            Files.deleteIfExists(file);
        }
        // Directories in which the program left files in its TMPDIR are kept.
        for (Path each : List.of(program.dataDirectory(), folder)) {
            String[] left = each.toFile().list();
            if (left != null && left.length == 0) {
                Files.delete(each);
            }
        }
    }
}
