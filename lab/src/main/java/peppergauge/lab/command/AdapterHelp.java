package peppergauge.lab.command;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Help of the {@code adapter} command. The launcher runs the command itself from the sidecar's jar, which does not
 * contain picocli.
 */
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
        throw new CommandLine.ParameterException(spec.commandLine(), "start it with bin/peppergauge adapter");
    }
}
