package peppergauge.lab.command;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.UsageMessageSpec;

/** Entry point of the command line. A new command is a class in this package that {@code subcommands} lists. */
@Command(
        name = "peppergauge",
        description = "Balances an application's requests, and rehearses it.",
        synopsisSubcommandLabel = "COMMAND",
        versionProvider = Lab.Version.class,
        mixinStandardHelpOptions = true,
        scope = CommandLine.ScopeType.INHERIT,
        subcommands = {
            ServeHelp.class,
            AdapterHelp.class,
            ServeWithCommand.class,
            DaemonHelp.class,
            CheckCommand.class,
            SchemaCommand.class,
            EmulateCommand.class,
            ShrinkCommand.class,
            CostCommand.class,
            PlayCommand.class,
            ReportCommand.class,
            CompareCommand.class,
            SoakCommand.class,
            FloodCommand.class,
            SystemCallsCommand.class,
            SnapshotCommand.class,
            PluginCommand.class,
            AdminCommand.Status.class,
            AdminCommand.Plugins.class,
            AdminCommand.Bodies.class,
            AdminCommand.Drain.class,
            AdminCommand.Reload.class,
            HelpCommand.class
        })
public final class Lab implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Lab() {}

    public static void main(String[] args) {
        System.exit(run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args));
    }

    /** Runs one command line and returns its exit code. */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        CommandLine line = new CommandLine(new Lab()).setOut(out).setErr(err);
        describeExitCodes(line);
        line.getSubcommands().values().forEach(Lab::describeExitCodes);
        line.setExecutionExceptionHandler((failure, command, parsed) -> {
            command.getErr().println("peppergauge: " + failure);
            return ExitCode.FAILED;
        });
        return line.execute(args);
    }

    private static void describeExitCodes(CommandLine line) {
        line.getCommandSpec()
                .usageMessage()
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(UsageMessageSpec.keyValuesMap(ExitCode.TABLE));
    }

    /** Rejects a command line without a command. */
    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Reads the version from the manifest of the jar. */
    static final class Version implements IVersionProvider {

        @Override
        public String[] getVersion() {
            String version = Lab.class.getPackage().getImplementationVersion();
            return new String[] {"peppergauge " + (version == null ? "(not packed)" : version)};
        }
    }
}
