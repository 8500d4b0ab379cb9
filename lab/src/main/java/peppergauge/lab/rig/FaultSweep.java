package peppergauge.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.LongStream;
import peppergauge.lab.fault.Budget;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.Verdict;
import peppergauge.lab.history.What;
import peppergauge.lab.play.Daemons;
import peppergauge.lab.process.Deploy;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.wire.Listener;
import peppergauge.operator.Reading;

/**
 * By hand: seeded schedules over many processes, a line each. See docs/RIG.md; options are {@code --name value}.
 */
public final class FaultSweep {

    private final Map<String, String> options;
    private final Map<String, Integer> excused = new TreeMap<>();
    private final Map<String, Integer> broken = new TreeMap<>();

    private FaultSweep(Map<String, String> options) {
        this.options = options;
    }

    /** @param args options and their values */
    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length % 2 != 0 || Arrays.asList(args).contains("--help")) {
            System.err.println("FaultSweep [--file RIG.toml] [--sidecars N] [--servers M] [--rate R] [--seeds A..B]"
                    + " [--faults N] [--at-once N] [--first S] [--healed S] [--longest S] [--back S]"
                    + " [--rounds N] [--clerks N] [--call-ms MS] [--daemon TABLES.toml] [--fleet N --fleet-command WORDS"
                    + " --fleet-file FILE.toml --fleet-ready PATH --fleet-peer TEXT]"
                    + " [--minutes M] [--shrink FOLDER] [--history FOLDER]");
            System.exit(2);
        }
        Map<String, String> options = new HashMap<>();
        for (int i = 0; i < args.length; i += 2) {
            options.put(args[i].replaceFirst("^--", ""), args[i + 1]);
        }
        System.exit(new FaultSweep(options).run());
    }

    private String text(String name, String preset) {
        return options.getOrDefault(name, preset);
    }

    private double number(String name, double preset) {
        return Double.parseDouble(text(name, Double.toString(preset)));
    }

    private Duration time(String name, double presetS) {
        return Duration.ofMillis((long) (1e3 * number(name, presetS)));
    }

    private int run() throws IOException, InterruptedException {
        Path home = Path.of("").toAbsolutePath();
        Optional<Daemons> daemons = options.containsKey("daemon")
                ? Optional.of(Daemons.launched(Optional.of(Files.readString(Path.of(options.get("daemon"))))))
                : Optional.empty();
        Commands commands = new Commands(home, Deploy.checked(Deploy.run(home)), daemons);
        Budget budget = new Budget((int) number("faults", 6), (int) number("at-once", 3), time("first", 2),
                time("healed", 8), time("longest", 3));
        Capacity capacity = new Capacity((int) number("clerks", 2), number("call-ms", 2), 1_000);
        Sweep sweep = new Sweep(commands, capacity, fleet(), budget, 1e3 * number("back", 10), 2_000);
        Optional<RigFile> script = script();
        String[] seeds = text("seeds", "1..10").split("\\.\\.");
        long untilNs = System.nanoTime() + (long) (60e9 * number("minutes", 1e6));
        int runs = 0;
        long last = Long.parseLong(seeds[seeds.length - 1]);
        int rounds = (int) number("rounds", 1);
        for (long seed = Long.parseLong(seeds[0]); seed <= last && System.nanoTime() < untilNs; seed += rounds) {
            List<RigFile> files = LongStream.rangeClosed(seed, Math.min(last, seed + rounds - 1)).mapToObj(each ->
                    script.isPresent() && !script.get().faults().isEmpty() ? script.get()
                    : sweep.drawn(script.map(RigFile::scenario).orElseGet(this::usual), each)).toList();
            print(seed, files, sweep.run(files.get(0), files.stream().skip(1).map(RigFile::faults).toList()), sweep);
            runs += files.size();
        }
        System.out.println("\n" + runs + " schedules; broken: " + broken + "; excused: " + excused);
        return broken.isEmpty() ? 0 : 3;
    }

    private void print(long seed, List<RigFile> files, Sweep.Outcome outcome, Sweep sweep) throws IOException {
        Verdict verdict = outcome.verdict();
        long asked = outcome.history().of(What.ASKED).count();
        long served = outcome.history().of(What.ENDED).filter(end -> end.text().equals("200")).count();
        verdict.excused().forEach((why, count) -> excused.merge(why, count, Integer::sum));
        verdict.rules().forEach(rule -> broken.merge(rule, 1, Integer::sum));
        System.out.printf("seed %s: %d faults, asked %d, served %.3f, %d MiB, checked %s, excused %s: %s%n",
                files.size() == 1 ? seed : seed + ".." + (seed + files.size() - 1),
                files.stream().mapToInt(file -> file.faults().size()).sum(), asked, served / (double) Math.max(1, asked),
                outcome.memoryKb() / 1024, verdict.checked(), verdict.excused(),
                verdict.rules().isEmpty() ? "fine" : "BROKEN " + verdict.rules());
        verdict.broken().stream().limit(5).forEach(one -> System.out.println("    " + one));
        if (!verdict.rules().isEmpty()) {
            files.forEach(file -> file.faults().forEach(fault -> System.out.println("    " + fault.line())));
            if (options.containsKey("history")) {
                write(Path.of(options.get("history"), "seed-" + seed + ".jsonl"), outcome.history().events().stream()
                        .map(Event::json).toList());
            }
            if (options.containsKey("shrink") && files.size() == 1) {
                RigFile least = sweep.shrunk(outcome);
                write(Path.of(options.get("shrink"), "seed-" + seed + ".toml"), List.of(least.toToml()));
                System.out.println("    shrunk to " + least.faults().size() + " faults");
            }
        }
    }

    private static void write(Path file, List<String> lines) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.write(file, lines, StandardCharsets.UTF_8);
    }

    private Optional<RigFile> script() {
        if (!options.containsKey("file")) {
            return Optional.empty();
        }
        Reading reading = RigFile.FILES.read(Path.of(options.get("file")));
        if (reading.values().isEmpty()) {
            throw new IllegalArgumentException(reading.problems().toString());
        }
        return reading.values().map(RigFile::read);
    }

    private Scenario usual() {
        return RigFile.read(RigFile.FILES.read("usual", """
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
                """.formatted((int) number("servers", 13), number("rate", 120), (int) number("sidecars", 12),
                (int) number("slack-ms", 200))).values().orElseThrow()).scenario();
    }

    /** Instances know each other, and sidecars know them, by the addresses of links. */
    private List<FurtherProgram> fleet() throws IOException {
        List<FurtherProgram> programs = new ArrayList<>();
        Hosts hosts = Hosts.fresh();
        for (int i = 1; i <= (int) number("fleet", 0); i++) {
            InetSocketAddress listen = SidecarProcess.freeAddress(hosts.of(i));
            String file = Files.readString(Path.of(options.get("fleet-file")))
                    .replace("{listen}", Listener.text(listen)).replace("{number}", Integer.toString(i));
            for (int other = 1; other <= (int) number("fleet", 0); other++) {
                String name = "fleet-" + other;
                file += other == i ? "" : text("fleet-peer", "").replace("{peer}", name)
                        .replace("{link}", "{link:" + name + '}');
            }
            programs.add(new FurtherProgram("fleet-" + i, List.of("/bin/sh", "-c", options.get("fleet-command")),
                    listen, text("fleet-ready", "/"), Map.of("fleet.toml", file)));
        }
        return programs;
    }
}
