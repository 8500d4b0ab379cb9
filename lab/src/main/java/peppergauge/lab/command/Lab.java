package peppergauge.lab.command;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.UsageMessageSpec;

/** The command line. A further command is one class in this package, and its name in {@code subcommands}. */
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
            ServeWith.class,
            DaemonHelp.class,
            Check.class,
            Schema.class,
            Emulate.class,
            Shrink.class,
            CostCommand.class,
            PlayCommand.class,
            ReportCommand.class,
            CompareCommand.class,
            SoakCommand.class,
            SnapshotCommand.class,
            PluginCommand.class,
            Admin.Status.class,
            Admin.Plugins.class,
            Admin.Bodies.class,
            Admin.Drain.class,
            Admin.Reload.class,
            HelpCommand.class
        })
public final class Lab implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Lab() {}

    public static void main(String[] args) {
        System.exit(run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args));
    }

    /** The exit code. */
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

    /** Without a command. */
    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** The version that the build wrote into the jar. */
    static final class Version implements IVersionProvider {

        @Override
        public String[] getVersion() {
            String version = Lab.class.getPackage().getImplementationVersion();
            return new String[] {"peppergauge " + (version == null ? "(not packed)" : version)};
        }
    }
}
