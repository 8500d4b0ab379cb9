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

/** The scenario that a command plays, or as much of it as was asked for. */
final class PlayedScenario {

    @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "A scenario, such as scenarios/calm.toml")
    private Path file;

    @Option(names = "--length", paramLabel = "S", description = "Only the first S seconds of the scenario.")
    private Double lengthS;

    /**
     * Empty after all problems were named.
     *
     * @throws CommandLine.ParameterException if the length asked for is none, or longer than the scenario's own
     */
    Optional<Scenario> read() {
        return ScenarioFile.read(file, spec.commandLine().getErr()).map(this::shortened);
    }

    /** The file's name without its ending. */
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
