package peppergauge.lab.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Options that select a scenario and the part of it that is run. */
final class ScenarioOptions {

    @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "A scenario, such as scenarios/calm.toml")
    private Path file;

    @Option(names = "--length", paramLabel = "S", description = "Only the first S seconds of the scenario.")
    private Double lengthS;

    /**
     * Reads the scenario; empty if the file is invalid, after its problems were printed.
     *
     * @throws CommandLine.ParameterException if the requested length is not positive or exceeds the scenario's length
     */
    Optional<Scenario> read() {
        return ScenarioFile.read(file, spec.commandLine().getErr()).map(this::shortened);
    }

    /** The file's name without its extension. */
    String name() {
        return ScenarioFile.name(file);
    }

    private Scenario shortened(Scenario whole) {
        if (lengthS == null) {
            return whole;
        }
        Duration length = Duration.ofMillis(Math.round(lengthS * 1e3));
        if (length.isZero()
                || length.isNegative()
                || length.compareTo(whole.run().length()) > 0) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "--length must be over 0 and at most "
                            + whole.run().length().toMillis() / 1e3 + ", the scenario's own");
        }
        return whole.with(
                new Run(length, whole.run().seed()),
                whole.servers(),
                whole.entries().stream()
                        .filter(entry -> entry.time().compareTo(length) <= 0)
                        .toList());
    }
}
