package peppergauge.lab.command;

import java.io.PrintWriter;
import java.util.List;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.operator.FileKind;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.SchemaPrinter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code schema} command, which prints the keys of each kind of operator file. */
@Command(
        name = "schema",
        description = {
            "Prints what may stand in operator files of each KIND.",
            "An example with a comment on each key, which is a usable file; or a page in Markdown."
        })
final class SchemaCommand implements Runnable {

    @CommandLine.Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "KIND", arity = "0..*", description = "Kinds of files; all if none is named.")
    private List<String> names = List.of();

    @Option(names = "--markdown", description = "Print a page in Markdown instead of examples.")
    private boolean markdown;

    @Override
    public void run() {
        OperatorFiles files = OperatorFileKinds.all();
        PrintWriter out = spec.commandLine().getOut();
        List<FileKind> kinds = names.isEmpty()
                ? files.kinds()
                : names.stream()
                        .map(name -> files.kind(name)
                                .orElseThrow(() -> new CommandLine.ParameterException(
                                        spec.commandLine(),
                                        "unknown kind " + name + "; known: "
                                                + String.join(
                                                        ", ",
                                                        files.kinds().stream()
                                                                .map(FileKind::name)
                                                                .toList()))))
                        .toList();
        out.print(String.join(
                "\n",
                kinds.stream()
                        .map(kind -> markdown ? SchemaPrinter.markdown(kind) : SchemaPrinter.example(kind))
                        .toList()));
        out.flush();
    }
}
