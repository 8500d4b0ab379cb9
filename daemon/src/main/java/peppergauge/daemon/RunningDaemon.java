package peppergauge.daemon;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import peppergauge.ReloadSignal;
import peppergauge.Sidecar;
import peppergauge.SidecarExtension;
import peppergauge.config.Config;
import peppergauge.daemon.admin.AdminAddress;
import peppergauge.daemon.admin.AdminSocket;
import peppergauge.daemon.file.DaemonFile;
import peppergauge.daemon.file.SidecarSection;
import peppergauge.daemon.subsystem.CompositeExtension;
import peppergauge.daemon.subsystem.RequestCounters;
import peppergauge.daemon.subsystem.StatusReporter;
import peppergauge.daemon.subsystem.Subsystem;
import peppergauge.daemon.subsystem.Subsystems;
import peppergauge.log.Log;
import peppergauge.operator.Values;
import peppergauge.plugin.files.PluginSection;

/**
 * A running daemon: the sidecar, its subsystems, and the operator file that configures them.
 *
 * <p>{@link #reload} may be called from any thread; reloads run one at a time.
 */
final class RunningDaemon {

    /** Time between the response to a drain command and the shutdown, in which the response is sent. */
    private static final long DRAIN_DELAY_MS = 100;

    private final Path file;
    private final List<Subsystem.Running> subsystems;
    private final RequestCounters requestCounters = new RequestCounters();
    private final Sidecar sidecar;
    private final Runnable exit;
    private final Optional<AdminAddress> adminAddress;
    private final FileChangePoller fileChanges = new FileChangePoller();
    private Config config;
    private int reloads;
    private AdminSocket adminSocket;

    /**
     * Reads the configuration and opens the subsystems. Plug-ins are started here, everything else by {@link #start}.
     *
     * @param exit ends the process gracefully
     * @throws IllegalArgumentException if the file is unusable; the message says where and why
     */
    RunningDaemon(Path file, Values values, Runnable exit) {
        this.file = file;
        this.exit = exit;
        config = SidecarSection.read(values);
        fileChanges.watch(files(values));
        adminAddress = AdminAddress.of(values);
        subsystems =
                Subsystems.ALL.stream().map(subsystem -> subsystem.open(values)).toList();
        List<SidecarExtension> extensions = new ArrayList<>(List.of(requestCounters));
        subsystems.forEach(subsystem -> extensions.add(subsystem.extension()));
        sidecar = new Sidecar(config, new CompositeExtension(extensions));
    }

    /** Reloads on each SIGHUP. If the process was started with SIGHUP ignored, as by nohup, reloads on file changes. */
    void installReload() {
        if (!ReloadSignal.installIfDelivered(this::reload)) {
            Log.event("reload_by_file_change", "reason", "SIGHUP is ignored in this process", "file", file);
            fileChanges.start(this::reload);
        }
    }

    /** Returns the files that a reload reads: the operator file and the files that it names. */
    private List<Path> files(Values values) {
        List<Path> all = new ArrayList<>(List.of(file));
        values.get(SidecarSection.TABLE).find(SidecarSection.CONFIG).ifPresent(path -> all.add(Path.of(path)));
        values.all(PluginSection.TABLE).forEach(plugin -> all.add(Path.of(plugin.get(PluginSection.FILE))));
        return all;
    }

    void start() throws IOException, InterruptedException {
        sidecar.start();
        if (adminAddress.isPresent()) {
            adminSocket = new AdminSocket(adminAddress.get(), commands());
        }
    }

    Sidecar sidecar() {
        return sidecar;
    }

    /** Completes requests in flight, stops the sidecar and removes the admin socket. */
    void shutDown() {
        sidecar.shutDownGracefully();
        if (adminSocket != null) {
            adminSocket.close();
        }
    }

    private Map<String, Supplier<Map<String, Object>>> commands() {
        Map<String, Supplier<Map<String, Object>>> commands = new LinkedHashMap<>();
        commands.put("status", this::status);
        commands.put("reload", this::reload);
        commands.put("drain", this::drain);
        for (Subsystem.Running subsystem : subsystems) {
            if (subsystem instanceof StatusReporter reporter) {
                commands.put(reporter.command(), () -> success(reporter.command(), reporter.report()));
            }
        }
        return commands;
    }

    private static Map<String, Object> success(Object... pairs) {
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("ok", true);
        for (int i = 0; i < pairs.length; i += 2) {
            response.put((String) pairs[i], pairs[i + 1]);
        }
        return response;
    }

    private synchronized Map<String, Object> status() {
        Runtime runtime = Runtime.getRuntime();
        return success(
                "name",
                config.name(),
                "listens",
                String.valueOf(sidecar.address()),
                "discovery",
                String.valueOf(config.discovery()),
                "pid",
                ProcessHandle.current().pid(),
                "up_s",
                ManagementFactory.getRuntimeMXBean().getUptime() / 1000,
                "reloads",
                reloads,
                "heap_kib",
                (runtime.totalMemory() - runtime.freeMemory()) / 1024,
                "threads",
                ManagementFactory.getThreadMXBean().getThreadCount(),
                "failed_accepts",
                sidecar.failedCalls().acceptFailures(),
                "failed_connects",
                sidecar.failedCalls().connectFailures(),
                "failed_selects",
                sidecar.failedCalls().selectFailures(),
                "missed_socket_events",
                sidecar.failedCalls().missedEvents(),
                "sessions",
                requestCounters.report());
    }

    private Map<String, Object> drain() {
        Thread shutdown = new Thread(
                () -> {
                    try {
                        Thread.sleep(DRAIN_DELAY_MS);
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                    exit.run();
                },
                "drain");
        shutdown.setDaemon(true);
        shutdown.start();
        return success("draining", true);
    }

    /**
     * Reads the operator file again and applies all of its changes or none. The response lists which of the
     * tables {@code [sidecar]} and {@code [admin]} need a restart, or gives the reason why nothing was applied.
     */
    synchronized Map<String, Object> reload() {
        List<Subsystem.Change> changes = new ArrayList<>();
        fileChanges.markRead();
        try {
            Values values = DaemonFile.read(file);
            Config newConfig = SidecarSection.read(values);
            fileChanges.watch(files(values));
            for (Subsystem.Running subsystem : subsystems) {
                changes.add(subsystem.prepare(values));
            }
            changes.forEach(Subsystem.Change::apply);
            sidecar.applyConfig(newConfig);
            List<String> needsRestart = findRestartOnlyChanges(values, newConfig);
            config = newConfig;
            reloads++;
            return success("reloads", reloads, "needs_restart", needsRestart);
        } catch (IllegalArgumentException unusable) {
            changes.forEach(Subsystem.Change::discard);
            Log.event("reload_rejected", "error", unusable.getMessage());
            return AdminSocket.error(unusable.getMessage());
        }
    }

    /** Returns and logs which of {@code [sidecar]} and {@code [admin]} have changes that only a restart applies. */
    private List<String> findRestartOnlyChanges(Values values, Config newConfig) {
        List<String> tables = new ArrayList<>();
        if (!newConfig.name().equals(config.name())
                || !newConfig.listen().equals(config.listen())
                || newConfig.seed() != config.seed()
                || newConfig.maxSockets() != config.maxSockets()
                || !newConfig.settings().equals(config.settings())) {
            tables.add("sidecar");
        }
        if (!AdminAddress.of(values).equals(adminAddress)) {
            tables.add("admin");
        }
        if (!tables.isEmpty()) {
            Log.event("reload_needs_restart", "tables", String.join(",", tables));
        }
        return tables;
    }
}
