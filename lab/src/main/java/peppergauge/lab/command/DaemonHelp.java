package peppergauge.lab.command;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The help of {@code daemon}, which the launcher starts from a jar of its own. */
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
                spec.commandLine(), "start it by bin/peppergauge daemon --config FILE.toml");
    }
}
