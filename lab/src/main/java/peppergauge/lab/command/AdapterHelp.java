package peppergauge.lab.command;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The help of {@code adapter}, which the launcher starts from the sidecar's jar without this library. */
@Command(
        name = "adapter",
        description = {
            "The sidecar's decisions on the simulator's wire.",
            "Lines of JSON on standard input and output, until the input ends."
        })
final class AdapterHelp implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "start it by bin/peppergauge adapter");
    }
}
