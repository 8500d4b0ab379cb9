package peppergauge.lab.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import peppergauge.lab.emulator.Shrinker;
import peppergauge.lab.scenario.Scenario;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code shrink} command, which reduces a scenario while it still breaks the same rule. */
@Command(
        name = "shrink",
        description = {
            "Cuts a scenario that breaks a rule down to one that still breaks it.",
            "Shorter, with fewer entries and fewer servers; printed as a scenario file, or written to --out."
        })
final class ShrinkCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The scenario.")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "The seed that fails; else the scenario's own.")
    private Long seed;

    @Option(names = "--out", paramLabel = "FILE", description = "Where to write it.")
    private Path out;

    @Override
    public Integer call() throws IOException {
        Optional<Scenario> read = ScenarioFile.read(file, spec.commandLine().getErr());
        if (read.isEmpty()) {
            return ExitCode.INVALID_INPUT;
        }
        Scenario scenario = seed == null ? read.get() : read.get().withSeed(seed);
        Optional<Scenario> smaller =
                Shrinker.shrink(scenario, spec.commandLine().getErr()::println);
        if (smaller.isEmpty()) {
            spec.commandLine()
                    .getErr()
                    .println(file + ": breaks no rule with seed "
                            + scenario.run().seed());
            return ExitCode.OK;
        }
        if (out != null) {
            Files.writeString(out, smaller.get().toToml());
        } else {
            spec.commandLine().getOut().print(smaller.get().toToml());
            spec.commandLine().getOut().flush();
        }
        return ExitCode.RULE_VIOLATED;
    }
}
