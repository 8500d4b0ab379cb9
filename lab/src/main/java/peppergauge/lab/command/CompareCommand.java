package peppergauge.lab.command;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import peppergauge.lab.compare.Comparison;
import peppergauge.lab.compare.Comparison.Outcome;
import peppergauge.lab.compare.Difference;
import peppergauge.lab.compare.Metric;
import peppergauge.lab.compare.Variant;
import peppergauge.lab.scenario.Scenario;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code compare} command, which estimates the difference between two variants with confidence intervals. */
@Command(
        name = "compare",
        description = {
            "Compares two builds or settings on the same scenarios and seeds.",
            "A and B: this, a checkout's folder or a lab's jar; behind it, changes to the scenarios, as in",
            "this@sidecars.attempts=1,clients.rate=300. Paired: the interval is of the difference B less A."
        })
final class CompareCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "A", description = "What is now.")
    private String variantA;

    @Parameters(index = "1", paramLabel = "B", description = "What is weighed.")
    private String variantB;

    @Parameters(index = "2..*", paramLabel = "SCENARIO", arity = "1..*", description = "Scenario files.")
    private List<Path> files;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            required = true,
            converter = SeedRange.Converter.class,
            description = "Seeds from A to B; each is one pair.")
    private SeedRange seeds;

    @Option(names = "--out", paramLabel = "DIR", description = "Keep all results in DIR/a and DIR/b.")
    private Path out;

    @Option(names = "--json", paramLabel = "FILE", description = "Write the differences there as well.")
    private Path json;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Map<String, String> scenarios = new LinkedHashMap<>();
        for (Path file : files) {
            Optional<Scenario> read = ScenarioFile.read(file, spec.commandLine().getErr());
            if (read.isEmpty()) {
                return ExitCode.INVALID_INPUT;
            }
            scenarios.put(ScenarioFile.name(file), read.get().toToml());
        }
        Path directory = out == null ? Files.createTempDirectory("compare") : out;
        try {
            List<Outcome> outcomes = new Comparison(seeds.first(), seeds.last(), directory)
                    .run(
                            Variant.parse(variantA, ProjectHome.path()),
                            Variant.parse(variantB, ProjectHome.path()),
                            scenarios);
            outcomes.forEach(this::print);
            if (json != null) {
                Files.writeString(
                        json,
                        JsonMapper.builder()
                                        .enable(SerializationFeature.INDENT_OUTPUT)
                                        .build()
                                        .writeValueAsString(Comparison.json(outcomes))
                                + "\n");
            }
            return ExitCode.OK;
        } catch (IllegalArgumentException invalid) {
            throw new CommandLine.ParameterException(spec.commandLine(), invalid.getMessage(), invalid);
        } finally {
            if (out == null) {
                deleteRecursively(directory);
            }
        }
    }

    private static void deleteRecursively(Path directory) throws IOException {
        try (var files = Files.walk(directory)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void print(Outcome outcome) {
        PrintWriter console = spec.commandLine().getOut();
        console.println(line(
                "%s, %d pairs; runs with a broken rule: A %d, B %d",
                outcome.scenario(),
                outcome.differences().get(Metric.SERVICE).pairs(),
                outcome.brokenA(),
                outcome.brokenB()));
        console.println(
                line("  %-24s %10s %10s %10s  %-24s %s", "", "A", "B", "B - A", "95% interval", "range of pairs"));
        outcome.differences()
                .forEach((metric, difference) -> console.println(line(
                        "  %-24s %10.4f %10.4f %+10.4f  %-24s %+.4f to %+.4f  %s",
                        metric.label(),
                        difference.meanA(),
                        difference.meanB(),
                        difference.mean(),
                        line("%+.4f to %+.4f", difference.low(), difference.high()),
                        difference.least(),
                        difference.most(),
                        verdict(metric, difference))));
    }

    private static String verdict(Metric metric, Difference difference) {
        return difference.sign() == 0 ? "" : difference.sign() == metric.betterSign() ? "B is better" : "A is better";
    }

    private static String line(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
