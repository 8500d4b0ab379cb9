package peppergauge.lab.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.LongStream;
import peppergauge.lab.fault.FaultLimits;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.history.Verdict;
import peppergauge.lab.process.DeploymentFile;
import peppergauge.operator.ReadResult;

/**
 * Runs seeded fault schedules over many processes and prints a line for each. Started by hand or by
 * scenarios/rig/sweep.sh; see docs/RIG.md. Options are {@code --name value}.
 */
public final class FaultSweep {

    private final SweepOptions options;
    private final Map<String, Integer> excused = new TreeMap<>();
    private final Map<String, Integer> broken = new TreeMap<>();

    private FaultSweep(SweepOptions options) {
        this.options = options;
    }

    /** @param args options and their values */
    public static void main(String[] args) throws IOException, InterruptedException {
        System.exit(new FaultSweep(SweepOptions.read(
                        args,
                        "FaultSweep [--file RIG.toml]" + SweepOptions.TOPOLOGY_USAGE + " [--seeds A..B]"
                                + " [--faults N] [--at-once N] [--first S] [--healed S] [--longest S] [--back S]"
                                + " [--rounds N] [--clerks N] [--call-ms MS] [--daemon TABLES.toml]"
                                + " [--minutes M] [--shrink FOLDER] [--history FOLDER]"))
                .run());
    }

    private int run() throws IOException, InterruptedException {
        Path home = Path.of("").toAbsolutePath();
        LaunchCommands commands =
                new LaunchCommands(home, DeploymentFile.checked(DeploymentFile.run(home)), options.daemons(), true);
        FaultLimits limits = new FaultLimits(
                (int) options.number("faults", 6),
                (int) options.number("at-once", 3),
                options.duration("first", 2),
                options.duration("healed", 8),
                options.duration("longest", 3));
        DiscoveryCapacity capacity =
                DiscoveryCapacity.constant((int) options.number("clerks", 2), options.number("call-ms", 2), 1_000);
        RigSweep sweep =
                new RigSweep(commands, capacity, options.fleetInstances(), 1e3 * options.number("back", 10), 2_000);
        Optional<RigFile> script = script();
        String[] seeds = options.text("seeds", "1..10").split("\\.\\.");
        long untilNs = System.nanoTime() + (long) (60e9 * options.number("minutes", 1e6));
        int runs = 0;
        long last = Long.parseLong(seeds[seeds.length - 1]);
        int rounds = (int) options.number("rounds", 1);
        for (long seed = Long.parseLong(seeds[0]); seed <= last && System.nanoTime() < untilNs; seed += rounds) {
            List<RigFile> files = LongStream.rangeClosed(seed, Math.min(last, seed + rounds - 1))
                    .mapToObj(each -> script.isPresent()
                                    && !script.get().faults().isEmpty()
                            ? script.get()
                            : sweep.generate(
                                    script.map(RigFile::scenario).orElseGet(options::defaultScenario), each, limits))
                    .toList();
            print(
                    seed,
                    files,
                    sweep.run(
                            files.get(0),
                            files.stream().skip(1).map(RigFile::faults).toList()),
                    sweep);
            runs += files.size();
        }
        System.out.println("\n" + runs + " schedules; broken: " + broken + "; excused: " + excused);
        return broken.isEmpty() ? 0 : 3;
    }

    private void print(long seed, List<RigFile> files, RigSweep.Outcome outcome, RigSweep sweep) throws IOException {
        Verdict verdict = outcome.verdict();
        long asked = outcome.history().of(EventKind.ASKED).count();
        long served = outcome.history()
                .of(EventKind.ENDED)
                .filter(end -> end.text().equals("200"))
                .count();
        verdict.excused().forEach((why, count) -> excused.merge(why, count, Integer::sum));
        verdict.rules().forEach(rule -> broken.merge(rule, 1, Integer::sum));
        System.out.printf(
                "seed %s: %d faults, asked %d, served %.3f, rig late %.3f, %d MiB, checked %s," + " excused %s: %s%n",
                files.size() == 1 ? seed : seed + ".." + (seed + files.size() - 1),
                files.stream().mapToInt(file -> file.faults().size()).sum(),
                asked,
                served / (double) Math.max(1, asked),
                outcome.rigDelayShare(),
                outcome.memoryMib(),
                verdict.checked(),
                verdict.excused(),
                verdict.rules().isEmpty() ? "fine" : "BROKEN " + verdict.rules());
        verdict.broken().stream().limit(5).forEach(one -> System.out.println("    " + one));
        if (!verdict.rules().isEmpty()) {
            files.forEach(file -> file.faults().forEach(fault -> System.out.println("    " + fault.describe())));
            if (options.has("history")) {
                SweepOptions.write(options.path("history").resolve("seed-" + seed + ".jsonl"), outcome.history());
            }
            if (options.has("shrink") && files.size() == 1) {
                RigFile least = sweep.shrink(outcome);
                SweepOptions.write(options.path("shrink").resolve("seed-" + seed + ".toml"), List.of(least.toToml()));
                System.out.println("    shrunk to " + least.faults().size() + " faults");
            }
        }
    }

    private Optional<RigFile> script() {
        if (!options.has("file")) {
            return Optional.empty();
        }
        ReadResult reading = RigFile.FILES.read(options.path("file"));
        if (reading.values().isEmpty()) {
            throw new IllegalArgumentException("invalid rig file: " + reading.problems());
        }
        return reading.values().map(RigFile::read);
    }
}
