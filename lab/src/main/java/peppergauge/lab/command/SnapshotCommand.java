package peppergauge.lab.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import peppergauge.snapshot.SnapshotPrinter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;

/** The {@code snapshot show} and {@code snapshot verify} commands, which read a snapshot file and never write. */
@Command(
        name = "snapshot",
        description = "Reads what a sidecar kept of what it learned, and changes nothing.",
        synopsisSubcommandLabel = "show|verify")
final class SnapshotCommand implements Runnable {

    @CommandLine.Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "show or verify is missing");
    }

    @Command(name = "show", description = "Prints all that a snapshot holds.")
    int show(@Parameters(paramLabel = "FILE", description = "A file NAME.snapshot or NAME.snapshot.before") Path file) {
        return print(file, () -> SnapshotPrinter.show(file));
    }

    @Command(name = "verify", description = "Says whether a snapshot is whole, and if not why.")
    int verify(
            @Parameters(paramLabel = "FILE", description = "A file NAME.snapshot or NAME.snapshot.before") Path file) {
        return print(file, () -> List.of(file + ": " + SnapshotPrinter.verify(file)));
    }

    private interface LineSource {
        List<String> lines() throws IOException;
    }

    private int print(Path file, LineSource source) {
        try {
            source.lines().forEach(spec.commandLine().getOut()::println);
            return ExitCode.OK;
        } catch (IOException invalid) {
            spec.commandLine().getErr().println(file + ": " + invalid.getMessage());
            return ExitCode.INVALID_INPUT;
        }
    }
}
