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
 * Two variants on the same scenarios and seeds. Each runs as a child process of its own build, with {@code emulate}
 * and its results in files, so that builds need to share nothing but the form of these.
 */
public final class Comparison {

    /**
     * What came of one scenario, or of all together.
     *
     * @param differences of each figure, over the seeds
     * @param brokenA runs of A in which a rule was broken, {@code brokenB} likewise
     */
    public record Outcome(String scenario, Map<Figure, Difference> differences, int brokenA, int brokenB) {}

    /** Exit codes of the children, the same in all builds. */
    private static final int UNUSABLE_INPUT = 2;

    private static final int BROKEN_RULE = 3;

    private final long first;
    private final long last;
    private final Path out;

    /**
     * @param first seed, and {@code last}, both included
     * @param out where results go, in folders a and b
     */
    public Comparison(long first, long last, Path out) {
        this.first = first;
        this.last = last;
        this.out = out;
    }

    /**
     * Runs both and compares.
     *
     * @param scenarios by name, as {@code Scenario.toToml} writes them
     * @return one outcome for each scenario; then, if there are several, one over all
     * @throws IOException if a child fails, with what it said
     * @throws IllegalArgumentException if it finds a changed scenario unusable, with what it said
     */
    public List<Outcome> run(Variant a, Variant b, Map<String, String> scenarios)
            throws IOException, InterruptedException {
        List<Outcome> outcomes = new ArrayList<>();
        Map<Figure, List<double[]>> all = new EnumMap<>(Figure.class);
        int brokenA = 0;
        int brokenB = 0;
        for (Map.Entry<String, String> scenario : scenarios.entrySet()) {
            List<RunResult> ofA = results(a, "a", scenario.getKey(), scenario.getValue());
            List<RunResult> ofB = results(b, "b", scenario.getKey(), scenario.getValue());
            Map<Figure, Difference> differences = new EnumMap<>(Figure.class);
            for (Figure figure : Figure.values()) {
                double[] valuesA = ofA.stream().mapToDouble(figure::of).toArray();
                double[] valuesB = ofB.stream().mapToDouble(figure::of).toArray();
                differences.put(figure, Difference.of(valuesA, valuesB));
                all.computeIfAbsent(figure, key -> new ArrayList<>()).add(valuesA);
                all.get(figure).add(valuesB);
            }
            Outcome outcome = new Outcome(scenario.getKey(), differences, broken(ofA), broken(ofB));
            brokenA += outcome.brokenA();
            brokenB += outcome.brokenB();
            outcomes.add(outcome);
        }
        if (scenarios.size() > 1) {
            Map<Figure, Difference> differences = new EnumMap<>(Figure.class);
            all.forEach((figure, values) -> differences.put(figure, Difference.of(means(values, 0), means(values, 1))));
            outcomes.add(new Outcome("all", differences, brokenA, brokenB));
        }
        return outcomes;
    }

    private static int broken(List<RunResult> results) {
        return (int)
                results.stream().filter(result -> !result.broken().isEmpty()).count();
    }

    /** For each seed the mean over scenarios: seeds are drawn, scenarios are not. */
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
        Path folder = Files.createDirectories(out.resolve(side).toAbsolutePath());
        Path file = Files.writeString(folder.resolve(name + ".toml"), variant.changed(toml));
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar",
                variant.jar().toString(),
                "emulate",
                file.toString(),
                "--seeds",
                first + ".." + last,
                "--out",
                folder.toString()));
        Path log = folder.resolve(name + ".log");
        Process child = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        Thread end = new Thread(child::destroyForcibly);
        Runtime.getRuntime().addShutdownHook(end);
        int code = child.waitFor();
        Runtime.getRuntime().removeShutdownHook(end);
        if (code == UNUSABLE_INPUT) {
            throw new IllegalArgumentException(variant.words() + ":\n" + tail(log));
        }
        if (code != 0 && code != BROKEN_RULE) {
            throw new IOException(variant.words() + " ended with " + code + " on " + name + ":\n" + tail(log));
        }
        List<RunResult> results = new ArrayList<>();
        for (long seed = first; seed <= last; seed++) {
            results.add(ResultJson.read(Files.readString(folder.resolve(name + '-' + seed + ".json"))));
        }
        return results;
    }

    private static String tail(Path log) throws IOException {
        try (Stream<String> lines = Files.lines(log)) {
            List<String> all = lines.toList();
            return String.join("\n", all.subList(Math.max(0, all.size() - 20), all.size()));
        }
    }

    /** For JSON: by scenario and by the figures' names. */
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
