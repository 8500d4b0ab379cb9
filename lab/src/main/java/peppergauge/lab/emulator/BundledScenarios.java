package peppergauge.lab.emulator;

import java.nio.file.Files;
import java.nio.file.Path;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.lab.scenario.Scenario;
import peppergauge.operator.ReadResult;

/** Reads the scenarios in the repository's folder {@code scenarios}. */
final class BundledScenarios {

    /** Folder of the scenarios, relative to the module's folder (in tests) or to the root of the repository. */
    static final Path FOLDER = Files.exists(Path.of("../scenarios")) ? Path.of("../scenarios") : Path.of("scenarios");

    private BundledScenarios() {}

    static Scenario scenario(String name) {
        return scenario(FOLDER.resolve(name + ".toml"));
    }

    static Scenario scenario(Path file) {
        return scenario(OperatorFileKinds.all().read(file));
    }

    static Scenario read(String text) {
        return scenario(OperatorFileKinds.all().read("s.toml", text));
    }

    private static Scenario scenario(ReadResult reading) {
        return Scenario.read(reading.values()
                .orElseThrow(() -> new IllegalArgumentException("invalid scenario: " + reading.problems())));
    }
}
