package peppergauge.lab.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import peppergauge.lab.files.Kinds;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;
import peppergauge.operator.Reading;

/** The scenarios at the root of the repository. */
final class Stock {

    private static final Path FOLDER = Path.of("../scenarios");

    private Stock() { }

    static List<String> names() {
        try (var files = Files.list(FOLDER)) {
            return files.map(file -> file.getFileName().toString().replace(".toml", "")).sorted().toList();
        } catch (IOException missing) {
            throw new UncheckedIOException(missing);
        }
    }

    static Scenario scenario(String name) {
        Reading reading = Kinds.all().read(FOLDER.resolve(name + ".toml"));
        return Scenario.read(reading.values().orElseThrow(() -> new AssertionError(reading.problems())));
    }

    static Scenario read(String text) {
        Reading reading = Kinds.all().read("s.toml", text);
        return Scenario.read(reading.values().orElseThrow(() -> new AssertionError(reading.problems())));
    }

    /** Only the beginning, with its entries. */
    static Scenario shortened(String name, long ms) {
        Scenario whole = scenario(name);
        Duration length = Duration.ofMillis(ms);
        return whole.with(new Run(length, whole.run().seed()), whole.servers(), whole.entries().stream()
                .filter(entry -> entry.time().compareTo(length) <= 0).toList());
    }
}
