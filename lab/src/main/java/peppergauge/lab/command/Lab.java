package peppergauge.lab.command;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of the lab: every command but {@code serve} and {@code adapter}, which the sidecar's jar has. */
@Command(name = "peppergauge", mixinStandardHelpOptions = true, version = "peppergauge 0.1.0")
public final class Lab {

    private Lab() { }

    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }
}
