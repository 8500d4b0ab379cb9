package peppergauge.lab.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.lab.scenario.Scenario;
import peppergauge.operator.FileKind;
import peppergauge.operator.ReadResult;

/** Reads scenario files. */
final class ScenarioFile {

    private ScenarioFile() {}

    /** Reads a scenario; empty if the file is invalid, after its problems were printed. */
    static Optional<Scenario> read(Path file, PrintWriter err) {
        ReadResult result = OperatorFileKinds.all().read(file);
        result.problems().forEach(err::println);
        if (result.values().isPresent()
                && !result.kind().map(FileKind::name).orElse("").equals("scenario")) {
            err.println(file + ":1:1: kind: must be \"scenario\"");
            return Optional.empty();
        }
        return result.values().map(Scenario::read);
    }

    /** The file's name without its extension. */
    static String name(Path file) {
        return file.getFileName().toString().replaceAll("\\.toml$", "");
    }
}
