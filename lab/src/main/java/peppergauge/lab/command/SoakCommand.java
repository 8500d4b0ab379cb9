package peppergauge.lab.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import peppergauge.lab.process.DeploymentFile;
import peppergauge.lab.soak.Soak;
import peppergauge.lab.soak.SoakFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** The {@code soak} command, which runs seeded soak runs and prints one line for each. */
@Command(
        name = "soak",
        description = {
            "Shutdowns, signals and crowds of one real sidecar, drawn from seeds.",
            "The sidecar is started by the run line of deploy/balancer.toml; docs/RIG.md has the rules."
        })
final class SoakCommand implements Callable<Integer> {

    private static final int LONG_OUTAGE_SEED_INTERVAL = 10;

    @CommandLine.Spec
    private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            converter = SeedRange.Converter.class,
            defaultValue = "1..10",
            description = "A run of some 10 s for each (preset: ${DEFAULT-VALUE}).")
    private SeedRange seeds;

    @Option(names = "--minutes", paramLabel = "M", description = "No run begins later than this.")
    private Long minutes;

    @Option(names = "--long", description = "Each tenth seed has an outage of discovery of 20 s and more.")
    private boolean longOutages;

    @Option(
            names = "--failing-calls",
            description = "In each drawn run, system calls of the sidecar fail for a while, also during its shutdown.")
    private boolean failingCalls;

    @Option(names = "--file", paramLabel = "FILE", description = "Plays a file of kind soak in place of drawn runs.")
    private Path file;

    @Option(
            names = "--shrink",
            paramLabel = "FOLDER",
            description = "Writes the fewest steps that break the same rule.")
    private Path shrink;

    @Option(
            names = "--log",
            paramLabel = "FOLDER",
            description = "Writes the sidecar's log of each run that breaks one.")
    private Path log;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<SoakFile> files;
        try {
            files = file != null
                    ? List.of(Soak.read(file))
                    : LongStream.rangeClosed(seeds.first(), seeds.last())
                            .mapToObj(this::generate)
                            .toList();
        } catch (IllegalArgumentException invalid) {
            spec.commandLine().getErr().println(file + ": " + invalid.getMessage());
            return ExitCode.INVALID_INPUT;
        }
        Path home = ProjectHome.path();
        return run(new Soak(List.of("/bin/sh", "-c", DeploymentFile.checked(DeploymentFile.run(home))), home), files);
    }

    private SoakFile generate(long seed) {
        SoakFile drawn = Soak.generate(seed, longOutages && seed % LONG_OUTAGE_SEED_INTERVAL == 0);
        return failingCalls ? Soak.withFailingCalls(drawn) : drawn;
    }

    private int run(Soak soak, List<SoakFile> files) throws IOException, InterruptedException {
        long deadlineNs = minutes == null ? Long.MAX_VALUE : System.nanoTime() + TimeUnit.MINUTES.toNanos(minutes);
        Map<String, Integer> brokenRules = new TreeMap<>();
        int runs = 0;
        for (SoakFile soakFile : files) {
            if (System.nanoTime() >= deadlineNs) {
                break;
            }
            Soak.Outcome outcome = soak.run(soakFile);
            outcome.lines().forEach(this::print);
            outcome.names().forEach(rule -> brokenRules.merge(rule, 1, Integer::sum));
            if (!outcome.broken().isEmpty()) {
                writeArtifacts(soak, outcome);
            }
            runs++;
        }
        print(runs + " runs; broken: " + brokenRules);
        return brokenRules.isEmpty() ? ExitCode.OK : ExitCode.RULE_VIOLATED;
    }

    private void print(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    private void writeArtifacts(Soak soak, Soak.Outcome outcome) throws IOException {
        String name = "seed-" + outcome.file().run().seed();
        if (log != null) {
            Files.writeString(Files.createDirectories(log).resolve(name + ".log"), outcome.log());
        }
        if (shrink != null) {
            SoakFile reduced = soak.shrink(outcome);
            Files.writeString(Files.createDirectories(shrink).resolve(name + ".toml"), reduced.toToml());
            print("    shrunk to " + reduced.steps().size() + " steps");
        }
    }
}
