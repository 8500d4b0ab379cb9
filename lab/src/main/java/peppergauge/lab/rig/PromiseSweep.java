package peppergauge.lab.rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import peppergauge.lab.fault.ScheduledFault;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.history.Verdict;
import peppergauge.lab.history.ZoneFactorReport;
import peppergauge.lab.play.DaemonLauncher;
import peppergauge.lab.process.DeploymentFile;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;
import peppergauge.promises.file.ObjectiveSection;

/**
 * Measures latency objectives of tenants over real processes while one zone is slow. Each seed runs without steering,
 * with steering, and with steering while instances of the fleet service are ended and disconnected. Started by hand;
 * see docs/PROMISES.md. Options are {@code --name value}.
 */
public final class PromiseSweep {

    /** Mode of a run. */
    private enum Mode {
        UNSTEERED,
        STEERING,
        FAULTS
    }

    private static final int INSTANCES = 3;
    private static final int ZONES = 3;

    private final Map<String, String> options;
    private final Map<Mode, List<ObjectiveResults>> all = new EnumMap<>(Mode.class);

    private PromiseSweep(Map<String, String> options) {
        this.options = options;
    }

    /** @param args options and their values */
    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length % 2 != 0 || Arrays.asList(args).contains("--help")) {
            System.err.println("PromiseSweep [--seeds A..B] [--modes unsteered,steering,faults] [--sidecars N]"
                    + " [--servers M] [--rate R] [--length S] [--warm S]"
                    + " [--windows S,S] [--share X] [--lease S] [--every MS]"
                    + " [--back S] [--slack-ms MS] [--history FOLDER]");
            System.exit(2);
        }
        Map<String, String> options = new HashMap<>();
        for (int i = 0; i < args.length; i += 2) {
            options.put(args[i].replaceFirst("^--", ""), args[i + 1]);
        }
        System.exit(new PromiseSweep(options).run());
    }

    private double number(String name, double defaultValue) {
        return Double.parseDouble(options.getOrDefault(name, Double.toString(defaultValue)));
    }

    private int run() throws IOException, InterruptedException {
        Path home = Path.of("").toAbsolutePath();
        String[] seeds = options.getOrDefault("seeds", "1..3").split("\\.\\.");
        List<Mode> modes = Arrays.stream(options.getOrDefault("modes", "unsteered,steering,faults")
                        .split(","))
                .map(name -> Mode.valueOf(name.toUpperCase(Locale.ROOT)))
                .toList();
        boolean broken = false;
        for (long seed = Long.parseLong(seeds[0]); seed <= Long.parseLong(seeds[seeds.length - 1]); seed++) {
            for (Mode mode : modes) {
                broken |= !runSeed(home, mode, seed);
            }
        }
        all.forEach(PromiseSweep::total);
        return broken ? 3 : 0;
    }

    private boolean runSeed(Path home, Mode mode, long seed) throws IOException, InterruptedException {
        Scenario scenario = scenario(seed);
        FleetFaultGenerator generator = new FleetFaultGenerator(seed, number("length", 180));
        List<ScheduledFault> faults = new ArrayList<>(generator.slowZone(RigFile.servers(scenario), ZONES));
        if (mode == Mode.FAULTS) {
            faults.addAll(generator.instanceFaults(seed, INSTANCES, number("lease", 20)));
        }
        Duration warm = Duration.ofMillis((long) (1e3 * number("warm", 10)));
        faults.replaceAll(fault -> new ScheduledFault(
                fault.time().plus(warm), fault.what(), fault.target(), fault.length(), fault.size()));
        LaunchCommands commands = new LaunchCommands(
                home,
                DeploymentFile.checked(DeploymentFile.run(home)),
                Optional.of(DaemonLauncher.launched(Optional.of(clientTables(mode != Mode.UNSTEERED)))),
                true);
        FleetInstances instances = FleetInstances.ofFleetService(
                "exec bin/peppergauge daemon --config {dir}/fleet.toml",
                serviceTables()
                        + scenario.contracts().stream()
                                .map(ObjectiveSection::toToml)
                                .collect(Collectors.joining()));
        RigSweep sweep = new RigSweep(
                commands,
                DiscoveryCapacity.constant(2, 2, 1_000),
                instances.createProcesses(INSTANCES),
                1e3 * number("back", 20),
                2_000);
        Run longer = new Run(scenario.run().length().plus(warm), seed);
        Scenario whole = scenario.with(longer, scenario.servers(), List.of());
        RigSweep.Outcome outcome = sweep.run(new RigFile(whole, faults));
        if (options.containsKey("history")) {
            Path folder = Files.createDirectories(Path.of(options.get("history")));
            Files.write(
                    folder.resolve("seed-" + seed + '-' + mode + ".jsonl"),
                    outcome.history().events().stream().map(Event::json).toList(),
                    StandardCharsets.UTF_8);
        }
        ObjectiveResults results = ObjectiveResults.of(outcome.history(), scenario, warm.toMillis());
        all.computeIfAbsent(mode, each -> new ArrayList<>()).add(results);
        print(seed, mode, faults.size(), outcome, results);
        return outcome.verdict().broken().isEmpty();
    }

    private static void print(long seed, Mode mode, int faults, RigSweep.Outcome outcome, ObjectiveResults results) {
        Verdict verdict = outcome.verdict();
        List<ZoneFactorReport> reports = outcome.history()
                .of(EventKind.STEERED)
                .map(Event::text)
                .map(ZoneFactorReport::read)
                .toList();
        long issuers = outcome.history()
                .of(EventKind.TABLE)
                .map(event -> event.number() & 255)
                .distinct()
                .count();
        System.out.printf(
                "seed %d %s: %d faults, windows kept %d of %d (%s), penalty %.3f, worth %.4f,"
                        + " largest rise %.1f/s, least factor %.2f, issuers %d, rig late %.3f, %d MiB,"
                        + " checked %s, excused %s: %s%n",
                seed,
                mode,
                faults,
                results.kept(),
                results.windows(),
                results.objectives().stream()
                        .map(one -> one.objective().tenant() + ' ' + one.kept())
                        .collect(Collectors.joining(", ")),
                results.penalty(),
                results.worth(),
                results.largestRise(),
                reports.stream().mapToDouble(ZoneFactorReport::least).min().orElse(1),
                issuers,
                outcome.rigDelayShare(),
                outcome.memoryMib(),
                verdict.checked(),
                verdict.excused(),
                verdict.broken().isEmpty() ? "no rule broken" : "BROKEN");
        verdict.broken().stream().limit(8).forEach(one -> System.out.println("  " + one));
    }

    private static void total(Mode mode, List<ObjectiveResults> all) {
        System.out.printf(
                "| %s | %.3f | %.3f | %.4f | %.1f |%n",
                mode,
                (double) all.stream().mapToLong(ObjectiveResults::kept).sum()
                        / all.stream().mapToLong(ObjectiveResults::windows).sum(),
                all.stream().mapToDouble(ObjectiveResults::penalty).average().orElse(0),
                all.stream().mapToDouble(ObjectiveResults::worth).average().orElse(0),
                all.stream()
                        .mapToDouble(ObjectiveResults::largestRise)
                        .average()
                        .orElse(0));
        for (int i = 0; i < all.get(0).objectives().size(); i++) {
            int index = i;
            System.out.printf(
                    "|   %s | %.3f |%n",
                    all.get(0).objectives().get(i).objective().tenant(),
                    (double) all.stream()
                                    .mapToLong(
                                            one -> one.objectives().get(index).kept())
                                    .sum()
                            / all.stream()
                                    .mapToLong(
                                            one -> one.objectives().get(index).windows())
                                    .sum());
        }
    }

    // ---- Operator files and scenario ----

    private String clientTables(boolean steersLoad) {
        return """
                [fleet]
                site = "rig"
                addresses = ["{link:fleet-1}", "{link:fleet-2}", "{link:fleet-3}"]
                steers = %s
                first-interval = "1 s"
                longest-interval = "5 s"
                patience = "1 s"
                step = 0.1
                step-every = "%d ms"
                """.formatted(steersLoad, (int) number("every", 1_000));
    }

    private String serviceTables() {
        return """
                least-interval = "%1$d ms"
                longest-interval = "5 s"
                table-every = "%1$d ms"
                lease = "%2$d s"
                gossip-every = "500 ms"
                suspect-after = "2 s"
                dead-after = "2 s"
                keep-every = "2 s"
                """.formatted((int) number("every", 1_000), (int) number("lease", 20));
    }

    private Scenario scenario(long seed) {
        String windows = Arrays.stream(options.getOrDefault("windows", "30,180").split(","))
                .map(each -> '"' + each + " s\"")
                .collect(Collectors.joining(", "));
        StringBuilder promises = new StringBuilder();
        List.of("city-fm/save/10", "harbour/list/3", "hill-radio/donation/1").forEach(each -> {
            String[] words = each.split("/");
            promises.append("[[promise]]\nstation = \"%s\"\nclass = \"%s\"\npenalty = %s\nshare = %s%n"
                            .formatted(words[0], words[1], words[2], number("share", 0.95)))
                    .append("within = \"250 ms\"\nwindows = [")
                    .append(windows)
                    .append("]\n");
        });
        Scenario scenario = RigFile.read(RigFile.FILES
                        .read(
                                "stations",
                                """
                kind = "rig"
                [run]
                length = "20 s"
                [network]
                zones = ["north", "bay", "hill"]
                [[servers]]
                name = "server"
                count = %d
                [[class]]
                name = "save"
                share = 0.35
                work = "50 ms"
                aim = "500 ms"
                deadline = "2500 ms"
                worth = 5
                [[class]]
                name = "list"
                share = 0.34
                work = "50 ms"
                aim = "400 ms"
                deadline = "1 s"
                late-worth = 0.3
                [[class]]
                name = "donation"
                share = 0.31
                work = "40 ms"
                aim = "400 ms"
                deadline = "2 s"
                worth = 10
                effect = "unsafe"
                [[tenant]]
                name = "city-fm"
                share = 0.45
                [[tenant]]
                name = "harbour"
                share = 0.3
                [[tenant]]
                name = "hill-radio"
                share = 0.25
                [clients]
                rate = %s
                [sidecars]
                count = %d
                skew = 0.2
                [discovery]
                notice = "300 ms"
                silent-notice = "2 s"
                [rules]
                answer-slack = "%s ms"
                """.formatted(
                                                        (int) number("servers", 9),
                                                        number("rate", 150),
                                                        (int) number("sidecars", 12),
                                                        (int) number("slack-ms", 200))
                                        + promises)
                        .values()
                        .orElseThrow())
                .scenario();
        return scenario.with(
                new Run(Duration.ofMillis((long) (1e3 * number("length", 180))), seed), scenario.servers(), List.of());
    }
}
