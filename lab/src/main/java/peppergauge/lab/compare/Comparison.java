package peppergauge.lab.compare;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import peppergauge.lab.result.ResultJson;
import peppergauge.lab.result.RunResult;

/**
 * Compares two variants on the same scenarios and seeds. Each variant runs the {@code emulate} command of its own build
 * in a child process that writes result files, so that the builds need to share only the format of these files.
 */
public final class Comparison {

    /**
     * Result of one scenario, or of all scenarios together.
     *
     * @param differences difference of each metric, with one pair for each seed
     * @param brokenA number of runs of A in which a rule was broken
     * @param brokenB number of runs of B in which a rule was broken
     */
    public record Outcome(String scenario, Map<Metric, Difference> differences, int brokenA, int brokenB) {}

    /** Exit codes of the child processes, which are the same in all builds. */
    private static final int INVALID_INPUT = 2;

    private static final int RULE_VIOLATED = 3;

    private static final int MAX_LOGGED_LINES = 20;

    private final long firstSeed;
    private final long lastSeed;
    private final Path out;

    /**
     * @param firstSeed first seed
     * @param lastSeed last seed, inclusive
     * @param out directory for the results, which go to its subdirectories a and b
     */
    public Comparison(long firstSeed, long lastSeed, Path out) {
        this.firstSeed = firstSeed;
        this.lastSeed = lastSeed;
        this.out = out;
    }

    /**
     * Runs both variants and compares their results.
     *
     * @param scenarios scenario texts by name, as {@code Scenario.toToml} writes them
     * @return one outcome for each scenario, followed by one over all scenarios if there are several
     * @throws IOException if a child process fails; the message has the end of its output
     * @throws IllegalArgumentException if a child process rejects a scenario; the message has the end of its output
     */
    public List<Outcome> run(Variant a, Variant b, Map<String, String> scenarios)
            throws IOException, InterruptedException {
        List<Outcome> outcomes = new ArrayList<>();
        Map<Metric, List<double[]>> valuesByMetric = new EnumMap<>(Metric.class);
        int brokenA = 0;
        int brokenB = 0;
        for (Map.Entry<String, String> scenario : scenarios.entrySet()) {
            List<RunResult> resultsA = results(a, "a", scenario.getKey(), scenario.getValue());
            List<RunResult> resultsB = results(b, "b", scenario.getKey(), scenario.getValue());
            Map<Metric, Difference> differences = new EnumMap<>(Metric.class);
            for (Metric metric : Metric.values()) {
                double[] valuesA = resultsA.stream().mapToDouble(metric::of).toArray();
                double[] valuesB = resultsB.stream().mapToDouble(metric::of).toArray();
                differences.put(metric, Difference.of(valuesA, valuesB));
                valuesByMetric.computeIfAbsent(metric, key -> new ArrayList<>()).add(valuesA);
                valuesByMetric.get(metric).add(valuesB);
            }
            Outcome outcome = new Outcome(scenario.getKey(), differences, countBroken(resultsA), countBroken(resultsB));
            brokenA += outcome.brokenA();
            brokenB += outcome.brokenB();
            outcomes.add(outcome);
        }
        if (scenarios.size() > 1) {
            Map<Metric, Difference> differences = new EnumMap<>(Metric.class);
            valuesByMetric.forEach(
                    (metric, values) -> differences.put(metric, Difference.of(means(values, 0), means(values, 1))));
            outcomes.add(new Outcome("all", differences, brokenA, brokenB));
        }
        return outcomes;
    }

    private static int countBroken(List<RunResult> results) {
        return (int)
                results.stream().filter(result -> !result.broken().isEmpty()).count();
    }

    /**
     * The mean over scenarios for each seed, which gives one pair per seed, since seeds are a random sample and
     * scenarios are not.
     *
     * @param values values of A and B for each scenario in turn
     * @param side 0 for A, 1 for B
     */
    private static double[] means(List<double[]> values, int side) {
        double[] means = new double[values.get(0).length];
        for (int i = side; i < values.size(); i += 2) {
            for (int seed = 0; seed < means.length; seed++) {
                means[seed] += values.get(i)[seed] / (values.size() / 2.0);
            }
        }
        return means;
    }

    private List<RunResult> results(Variant variant, String side, String name, String toml)
            throws IOException, InterruptedException {
        Path directory = Files.createDirectories(out.resolve(side).toAbsolutePath());
        Path file = Files.writeString(directory.resolve(name + ".toml"), variant.applyChanges(toml));
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar",
                variant.jar().toString(),
                "emulate",
                file.toString(),
                "--seeds",
                firstSeed + ".." + lastSeed,
                "--out",
                directory.toString()));
        Path log = directory.resolve(name + ".log");
        Process child = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        Thread shutdownHook = new Thread(child::destroyForcibly);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        int exitCode = child.waitFor();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        if (exitCode == INVALID_INPUT) {
            throw new IllegalArgumentException(
                    variant.specification() + ": emulate rejected scenario " + name + ":\n" + tail(log));
        }
        if (exitCode != 0 && exitCode != RULE_VIOLATED) {
            throw new IOException(variant.specification() + ": emulate of scenario " + name + " failed with exit code "
                    + exitCode + ":\n" + tail(log));
        }
        List<RunResult> results = new ArrayList<>();
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            results.add(ResultJson.read(Files.readString(directory.resolve(name + '-' + seed + ".json"))));
        }
        return results;
    }

    private static String tail(Path log) throws IOException {
        try (Stream<String> lines = Files.lines(log)) {
            List<String> all = lines.toList();
            return String.join("\n", all.subList(Math.max(0, all.size() - MAX_LOGGED_LINES), all.size()));
        }
    }

    /** The outcomes as a JSON object, by scenario and by the names of the metrics. */
    public static Map<String, Object> json(List<Outcome> outcomes) {
        Map<String, Object> json = new LinkedHashMap<>();
        outcomes.forEach(outcome -> json.put(
                outcome.scenario(),
                Map.of(
                        "brokenA",
                        outcome.brokenA(),
                        "brokenB",
                        outcome.brokenB(),
                        "differences",
                        outcome.differences())));
        return json;
    }
}
