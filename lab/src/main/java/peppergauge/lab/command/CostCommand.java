package peppergauge.lab.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import peppergauge.lab.cost.CostMeasurement;
import peppergauge.lab.cost.CostOptions;
import peppergauge.lab.process.DeploymentFile;
import peppergauge.lab.process.SidecarProcess.Launch;
import peppergauge.lab.standin.Delay;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code cost} command, which measures the CPU, latency, memory and start cost of one sidecar. */
@Command(
        name = "cost",
        description = {
            "Measures what one sidecar costs: CPU a request, latency, memory, start.",
            "docs/COST.md says how to read it."
        })
final class CostCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "LOAD", arity = "0..*", description = "220, 1200, saturate, start; all of them if none.")
    private List<String> loads = List.of();

    @Option(names = "--dir", paramLabel = "DIR", description = "Measure the build of another checkout.")
    private Path checkout;

    @Option(names = "--run", paramLabel = "CMD", description = "Measure this command, not the deploy file's run.")
    private String run;

    @Option(names = "--cpu", paramLabel = "N", description = "The sidecar's CPU (the last one); the load keeps off it.")
    private Integer cpu;

    @Option(names = "--rounds", paramLabel = "N", description = "Rounds of each load (3), or starts (9).")
    private int rounds;

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "5", description = "Length of a round (5).")
    private int seconds;

    @Option(names = "--warmup", paramLabel = "S", defaultValue = "5", description = "Load before the rounds (5).")
    private int warmup;

    @Option(names = "--servers", paramLabel = "N", defaultValue = "13", description = "Stand-in backend servers (13).")
    private int servers;

    @Option(names = "--delay", paramLabel = "MS", description = "Their service time, not the load's; exp:MS is random.")
    private String delay;

    @Option(
            names = "--quota",
            paramLabel = "SHARE",
            defaultValue = "1",
            description = "Give the sidecar this share of its CPU, by stopping it for the rest of each 20 ms.")
    private double quota;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Of all that is drawn (1).")
    private long seed;

    @Option(names = "--json", paramLabel = "FILE", description = "Write all figures there as well.")
    private Path json;

    @Override
    public Integer call() throws IOException, InterruptedException {
        CostMeasurement.run(options());
        return ExitCode.OK;
    }

    private CostOptions options() {
        Path home = ProjectHome.path();
        Path measuredCheckout = (checkout == null ? home : checkout).toAbsolutePath();
        try {
            return new CostOptions(
                    loads,
                    home,
                    new Launch(
                            measuredCheckout,
                            run == null ? DeploymentFile.run(measuredCheckout) : run,
                            cpu == null ? CostOptions.lastCpu() : cpu,
                            quota),
                    rounds,
                    seconds,
                    warmup,
                    servers,
                    delay == null ? null : Delay.parse(delay),
                    seed,
                    json,
                    spec.commandLine().getOut());
        } catch (IllegalArgumentException | IOException invalid) {
            throw new CommandLine.ParameterException(spec.commandLine(), invalid.getMessage(), invalid);
        }
    }
}
