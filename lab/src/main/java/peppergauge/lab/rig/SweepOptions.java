package peppergauge.lab.rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.History;
import peppergauge.lab.play.DaemonLauncher;
import peppergauge.lab.scenario.Scenario;

/** Command line options of the sweeps, and the scenario and fleet instances that they describe. */
record SweepOptions(Map<String, String> options) {

    /** Usage text of the options that several sweeps have. */
    static final String TOPOLOGY_USAGE = " [--sidecars N] [--servers M] [--rate R] [--slack-ms MS] [--fleet N"
            + " --fleet-command WORDS --fleet-file FILE.toml --fleet-ready PATH --fleet-peer TEXT]";

    /** @param args {@code --name value}; anything else prints the usage and ends the program */
    static SweepOptions read(String[] args, String usage) {
        Map<String, String> options = new HashMap<>();
        for (int i = 0; i + 1 < args.length; i += 2) {
            options.put(args[i].replaceFirst("^--", ""), args[i + 1]);
        }
        if (args.length % 2 != 0 || options.containsKey("help")) {
            System.err.println(usage);
            System.exit(2);
        }
        return new SweepOptions(options);
    }

    boolean has(String name) {
        return options.containsKey(name);
    }

    String text(String name, String defaultValue) {
        return options.getOrDefault(name, defaultValue);
    }

    double number(String name, double defaultValue) {
        String value = text(name, Double.toString(defaultValue));
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException("--" + name + " must be a number, but is " + value, malformed);
        }
    }

    /** Returns the value of an option in seconds. */
    Duration duration(String name, double defaultS) {
        return Duration.ofMillis((long) (1e3 * number(name, defaultS)));
    }

    Path path(String name) {
        if (!has(name)) {
            throw new IllegalArgumentException("option --" + name + " is missing");
        }
        return Path.of(options.get(name));
    }

    /** Returns daemons with the tables of the file in option {@code --daemon}; empty without this option. */
    Optional<DaemonLauncher> daemons() throws IOException {
        return has("daemon")
                ? Optional.of(DaemonLauncher.launched(Optional.of(Files.readString(path("daemon")))))
                : Optional.empty();
    }

    static void write(Path file, List<String> lines) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.write(file, lines, StandardCharsets.UTF_8);
    }

    static void write(Path file, History history) throws IOException {
        write(file, history.events().stream().map(Event::json).toList());
    }

    // ---- Scenario and fleet instances ----

    Scenario defaultScenario() {
        return RigFile.read(RigFile.FILES
                        .read("usual", """
                kind = "rig"
                [run]
                length = "20 s"
                [network]
                zones = ["a", "b", "c"]
                [[servers]]
                name = "server"
                count = %d
                [[class]]
                name = "list"
                share = 0.6
                work = "20 ms"
                aim = "400 ms"
                deadline = "1 s"
                [[class]]
                name = "donation"
                share = 0.4
                work = "20 ms"
                aim = "400 ms"
                deadline = "2 s"
                effect = "unsafe"
                [clients]
                rate = %s
                [sidecars]
                count = %d
                [discovery]
                notice = "300 ms"
                silent-notice = "2 s"
                [rules]
                answer-slack = "%s ms"
                """.formatted(
                                (int) number("servers", 13), number("rate", 120), (int) number("sidecars", 12), (int)
                                        number("slack-ms", 200)))
                        .values()
                        .orElseThrow())
                .scenario();
    }

    List<AuxiliaryProcess> fleetInstances() throws IOException {
        return has("fleet")
                ? new FleetInstances(
                                options.get("fleet-command"),
                                Files.readString(path("fleet-file")),
                                text("fleet-peer", ""),
                                text("fleet-ready", "/"))
                        .createProcesses((int) number("fleet", 0))
                : List.of();
    }
}
