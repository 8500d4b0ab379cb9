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
import peppergauge.daemon.part.Answers;
import peppergauge.daemon.part.Combined;
import peppergauge.daemon.part.Reports;
import peppergauge.daemon.part.Subsystem;
import peppergauge.daemon.part.Subsystems;
import peppergauge.log.Log;
import peppergauge.operator.Values;
import peppergauge.plugin.files.PluginSection;

/** One daemon in service: the sidecar, its parts, and the file that they go by. */
final class Running {

    private final Path file;
    private final List<Subsystem.Part> parts;
    private final Answers answers = new Answers();
    private final Sidecar sidecar;
    private final Runnable end;
    private final Optional<AdminAddress> adminAddress;
    private final FileLooks looks = new FileLooks();
    private Config config;
    private int reloads;
    private AdminSocket admin;

    /**
     * Nothing runs before {@link #start}, but plug-ins.
     *
     * @param end ends the program in order
     * @throws IllegalArgumentException saying what of the file is unusable
     */
    Running(Path file, Values values, Runnable end) {
        this.file = file;
        this.end = end;
        config = SidecarSection.read(values);
        looks.lookAt(files(values));
        adminAddress = AdminAddress.of(values);
        parts = Subsystems.ALL.stream().map(subsystem -> subsystem.open(values)).toList();
        List<SidecarExtension> additions = new ArrayList<>(List.of(answers));
        parts.forEach(part -> additions.add(part.additions()));
        sidecar = new Sidecar(config, new Combined(additions));
    }

    /** At each SIGHUP; where that was ignored at the start, as by nohup, whenever its files are others than before. */
    void reloadAtHangUp() {
        if (!ReloadSignal.installIfDelivered(this::reload)) {
            Log.line(
                    "reload",
                    "SIGHUP was ignored when this was started: " + file
                            + " and the files that it names are looked at instead");
            looks.start(this::reload);
        }
    }

    /** What a reload reads: the file, and the files that it names. */
    private List<Path> files(Values values) {
        List<Path> all = new ArrayList<>(List.of(file));
        values.get(SidecarSection.TABLE).find(SidecarSection.CONFIG).ifPresent(path -> all.add(Path.of(path)));
        values.all(PluginSection.TABLE).forEach(plugin -> all.add(Path.of(plugin.get(PluginSection.FILE))));
        return all;
    }

    void start() throws IOException, InterruptedException {
        sidecar.start();
        if (adminAddress.isPresent()) {
            admin = new AdminSocket(adminAddress.get(), commands());
        }
    }

    Sidecar sidecar() {
        return sidecar;
    }

    /** Serves what is open, then ends; also removes the admin socket. */
    void windDown() {
        sidecar.windDown();
        if (admin != null) {
            admin.close();
        }
    }

    private Map<String, Supplier<Map<String, Object>>> commands() {
        Map<String, Supplier<Map<String, Object>>> commands = new LinkedHashMap<>();
        commands.put("status", this::status);
        commands.put("reload", this::reload);
        commands.put("drain", this::drain);
        for (Subsystem.Part part : parts) {
            if (part instanceof Reports reports) {
                commands.put(reports.command(), () -> answer(reports.command(), reports.report()));
            }
        }
        return commands;
    }

    private static Map<String, Object> answer(Object... pairs) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("ok", true);
        for (int i = 0; i < pairs.length; i += 2) {
            answer.put((String) pairs[i], pairs[i + 1]);
        }
        return answer;
    }

    private synchronized Map<String, Object> status() {
        Runtime java = Runtime.getRuntime();
        return answer(
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
                (java.totalMemory() - java.freeMemory()) / 1024,
                "threads",
                ManagementFactory.getThreadMXBean().getThreadCount(),
                "sessions",
                answers.report());
    }

    private Map<String, Object> drain() {
        // The answer goes out first; then as after SIGTERM.
        Thread ending = new Thread(
                () -> {
                    try {
                        Thread.sleep(100);
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                    end.run();
                },
                "drain");
        ending.setDaemon(true);
        ending.start();
        return answer("draining", true);
    }

    /** Reads the whole file again. All of it comes into force, or nothing; the answer says which and why. */
    synchronized Map<String, Object> reload() {
        List<Subsystem.Change> changes = new ArrayList<>();
        looks.reading();
        try {
            Values values = DaemonFile.read(file);
            Config fresh = SidecarSection.read(values);
            looks.lookAt(files(values));
            for (Subsystem.Part part : parts) {
                changes.add(part.prepare(values));
            }
            changes.forEach(Subsystem.Change::apply);
            sidecar.moveTo(fresh);
            List<String> later = needsRestart(values, fresh);
            config = fresh;
            reloads++;
            return answer("reloads", reloads, "needs_restart", later);
        } catch (IllegalArgumentException unusable) {
            changes.forEach(Subsystem.Change::drop);
            Log.line("reload", "everything stays as it was: " + unusable.getMessage());
            return AdminSocket.error(unusable.getMessage());
        }
    }

    /** What has changed in the file and stays as it was. */
    private List<String> needsRestart(Values values, Config fresh) {
        List<String> later = new ArrayList<>();
        if (!fresh.name().equals(config.name())
                || !fresh.listen().equals(config.listen())
                || fresh.seed() != config.seed()
                || fresh.sockets() != config.sockets()
                || !fresh.settings().equals(config.settings())) {
            later.add("sidecar");
        }
        if (!AdminAddress.of(values).equals(adminAddress)) {
            later.add("admin");
        }
        if (!later.isEmpty()) {
            Log.line("reload", "needs a restart: " + String.join(", ", later));
        }
        return later;
    }
}
