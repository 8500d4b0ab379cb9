package peppergauge.lab.command;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Help of the {@code daemon} command. The launcher runs the command itself from the daemon's jar. */
@Command(
        name = "daemon",
        description = {
            "One sidecar with all that an operator file adds to it, until SIGTERM or drain.",
            "Started by: daemon --config FILE.toml, of kind daemon.",
            "SIGHUP or reload: read the whole file again. SIGTERM: finish what is open, exit code 143."
        })
final class DaemonHelp implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "start it with bin/peppergauge daemon --config FILE.toml");
    }
}
