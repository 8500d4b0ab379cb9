package peppergauge.lab.command;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.operator.FileKind;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.ReadResult;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;

/** The {@code check} command, which validates operator files. */
@Command(
        name = "check",
        description = {
            "Reads operator files and does nothing else.",
            "Each error is named with file, line, column, key and what is allowed; all errors of all files are named."
        })
final class CheckCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", arity = "1..*", description = "A TOML file that begins with: kind = \"...\"")
    private List<Path> files;

    @Override
    public Integer call() {
        OperatorFiles kinds = OperatorFileKinds.all();
        int exitCode = ExitCode.OK;
        for (Path file : files) {
            ReadResult result = kinds.read(file);
            result.problems().forEach(spec.commandLine().getErr()::println);
            if (result.values().isPresent()) {
                spec.commandLine()
                        .getOut()
                        .println(file + ": fine, kind "
                                + result.kind().map(FileKind::name).orElseThrow());
            } else {
                exitCode = ExitCode.INVALID_INPUT;
            }
        }
        return exitCode;
    }
}
