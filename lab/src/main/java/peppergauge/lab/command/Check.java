package peppergauge.lab.command;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import peppergauge.lab.files.Kinds;
import peppergauge.operator.FileKind;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.ReadResult;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;

/** {@code check FILE...}: reads operator files and does nothing else. */
@Command(
        name = "check",
        description = {
            "Reads operator files and does nothing else.",
            "Each error is named with file, line, column, key and what is allowed; all errors of all files are named."
        })
final class Check implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", arity = "1..*", description = "A TOML file that begins with: kind = \"...\"")
    private List<Path> files;

    @Override
    public Integer call() {
        OperatorFiles kinds = Kinds.all();
        int code = ExitCode.FINE;
        for (Path file : files) {
            ReadResult reading = kinds.read(file);
            reading.problems().forEach(spec.commandLine().getErr()::println);
            if (reading.values().isPresent()) {
                spec.commandLine()
                        .getOut()
                        .println(file + ": fine, kind "
                                + reading.kind().map(FileKind::name).orElseThrow());
            } else {
                code = ExitCode.UNUSABLE_INPUT;
            }
        }
        return code;
    }
}
