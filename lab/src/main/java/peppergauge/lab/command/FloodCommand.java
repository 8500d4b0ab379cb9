package peppergauge.lab.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import peppergauge.lab.flood.FloodKind;
import peppergauge.lab.flood.FloodOutcome;
import peppergauge.lab.flood.FloodPlan;
import peppergauge.lab.flood.FloodRun;
import peppergauge.lab.process.DeploymentFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** The {@code flood} command, which floods one real sidecar and prints one line for each seed. */
@Command(
        name = "flood",
        description = {
            "Clients that send as much as their connections take, beside usual clients of one real sidecar.",
            "The sidecar is started by the run line of deploy/balancer.toml; docs/RIG.md has what is judged."
        })
final class FloodCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            converter = SeedRange.Converter.class,
            defaultValue = "1..12",
            description = "A run of some 6 s for each (preset: ${DEFAULT-VALUE}).")
    private SeedRange seeds;

    @Option(names = "--kind", paramLabel = "KIND", description = "One of: ${COMPLETION-CANDIDATES}; else by seed.")
    private FloodKind kind;

    @Option(names = "--connections", paramLabel = "N", description = "Connections of the flood; else by seed.")
    private Integer connections;

    @Option(names = "--rate", paramLabel = "N", description = "Requests a second of each; 0 for all that it takes.")
    private Integer rate;

    @Option(names = "--read", negatable = true, description = "Whether the flood reads responses; else by seed.")
    private Boolean reads;

    @Option(names = "--flood-ms", paramLabel = "MS", description = "How long a flood lasts; else 4000.")
    private Long floodMs;

    @Option(
            names = "--sockets",
            paramLabel = "N",
            defaultValue = "1024",
            description = "Descriptors (preset: ${DEFAULT-VALUE}).")
    private int sockets;

    @Option(
            names = "--cpu",
            paramLabel = "N",
            defaultValue = "-1",
            description = "The only CPU of the sidecar; -1 for all (preset: ${DEFAULT-VALUE}).")
    private int cpu;

    @Option(names = "--log", paramLabel = "FOLDER", description = "Writes the sidecar's log of each violating run.")
    private Path log;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path home = ProjectHome.path();
        FloodRun.Launch launch = new FloodRun.Launch(DeploymentFile.run(home), home, cpu, sockets);
        int violating = 0;
        for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
            try (FloodRun run = new FloodRun(plan(seed), launch)) {
                FloodOutcome outcome = run.run();
                spec.commandLine().getOut().println(outcome);
                spec.commandLine().getOut().flush();
                if (!outcome.violations().isEmpty()) {
                    violating++;
                    writeLog(outcome);
                }
            }
        }
        spec.commandLine().getOut().println("runs with violations: " + violating);
        return violating == 0 ? ExitCode.OK : ExitCode.RULE_VIOLATED;
    }

    private FloodPlan plan(long seed) {
        FloodPlan drawn = kind == null ? FloodPlan.draw(seed) : FloodPlan.draw(seed, kind);
        return new FloodPlan(
                drawn.kind(),
                connections == null ? drawn.connections() : connections,
                rate == null ? drawn.requestsPerSecond() : rate,
                reads == null ? drawn.reads() : reads,
                drawn.holdMs(),
                floodMs == null ? drawn.floodMs() : floodMs,
                seed);
    }

    private void writeLog(FloodOutcome outcome) throws IOException {
        if (log != null) {
            Files.writeString(
                    Files.createDirectories(log)
                            .resolve("seed-" + outcome.plan().seed() + ".log"),
                    outcome.log());
        }
    }
}
