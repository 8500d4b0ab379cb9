package peppergauge.lab.command;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Help of the {@code serve} command. The launcher runs the command itself from the sidecar's jar, which does not
 * contain picocli.
 */
@Command(
        name = "serve",
        description = {
            "One real sidecar: HTTP/1.1 on sockets, until SIGTERM.",
            "GW_CONFIG names its JSON file; GW_NAME, GW_LISTEN and GW_DISCOVERY go before what the file says.",
            "SIGHUP: read the file again, watch discovery where it says now. "
                    + "SIGTERM: finish what is open, exit code 143."
        })
final class ServeHelp implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "start it with bin/peppergauge serve");
    }
}
