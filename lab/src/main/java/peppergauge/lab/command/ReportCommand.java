package peppergauge.lab.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import peppergauge.lab.report.Report;
import peppergauge.lab.result.ResultJson;
import peppergauge.lab.result.RunResult;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code report} command, which renders results as an HTML page with charts. */
@Command(
        name = "report",
        description = {"Makes one HTML page, with pictures, of results of emulate and play."})
final class ReportCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "RESULT", arity = "1..*", description = "Files that --out of emulate or play wrote.")
    private List<Path> files;

    @Option(names = "-o", paramLabel = "FILE", required = true, description = "The page.")
    private Path page;

    @Option(names = "--json", paramLabel = "FILE", description = "All that the page shows, as JSON.")
    private Path json;

    @Override
    public Integer call() throws IOException {
        List<RunResult> results = new ArrayList<>();
        boolean allValid = true;
        for (Path file : files) {
            try {
                results.add(ResultJson.read(Files.readString(file)));
            } catch (IOException invalid) {
                spec.commandLine()
                        .getErr()
                        .println(file + ": is not a result file: "
                                + String.valueOf(invalid.getMessage())
                                        .lines()
                                        .findFirst()
                                        .orElse(""));
                allValid = false;
            }
        }
        if (!allValid) {
            return ExitCode.INVALID_INPUT;
        }
        Report report = Report.of(results);
        Files.writeString(page, report.html());
        if (json != null) {
            Files.writeString(json, report.json());
        }
        return ExitCode.OK;
    }
}
