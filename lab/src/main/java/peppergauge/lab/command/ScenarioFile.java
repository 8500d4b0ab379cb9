package peppergauge.lab.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import peppergauge.lab.files.Kinds;
import peppergauge.lab.scenario.Scenario;
import peppergauge.operator.FileKind;
import peppergauge.operator.ReadResult;

/** Reads the scenario that a command was given. */
final class ScenarioFile {

    private ScenarioFile() {}

    /** Empty after all problems were named. */
    static Optional<Scenario> read(Path file, PrintWriter err) {
        ReadResult reading = Kinds.all().read(file);
        reading.problems().forEach(err::println);
        if (reading.values().isPresent()
                && !reading.kind().map(FileKind::name).orElse("").equals("scenario")) {
            err.println(file + ":1:1: kind: must be \"scenario\"");
            return Optional.empty();
        }
        return reading.values().map(Scenario::read);
    }

    /** The file's name without its ending. */
    static String name(Path file) {
        return file.getFileName().toString().replaceAll("\\.toml$", "");
    }
}
