package peppergauge.lab.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import peppergauge.lab.report.Chart.Series;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.ClassResult;
import peppergauge.lab.result.RunResult.Second;
import peppergauge.lab.result.RunResult.ServerResult;

/** Builds the charts of a result. */
final class ResultCharts {

    /** With more lines a chart is unreadable, so that servers of one kind and zone are drawn as their mean. */
    private static final int MAX_LINES = 24;
    /** Percentiles are drawn up to 99.99, on a scale by their number of nines, which expands the tail. */
    private static final double MAX_NINES = 4;

    private static final double NINES_STEP = 0.05;
    private static final double MIN_LATENCY_MS = 0.1;

    private ResultCharts() {}

    static List<Chart> of(RunResult result) {
        List<Chart> charts = new ArrayList<>();
        charts.add(overTime(
                "Worth earned of the worth asked, by when it was asked (%)",
                false, List.of(line(result, "worth", ResultCharts::service))));
        charts.add(overTime(
                "Latency of answers, by when they came (ms)",
                true,
                List.of(latencyLine(result, "median", Second::p50Ms), latencyLine(result, "99%", Second::p99Ms))));
        List<Series> classes = result.classes().stream()
                .filter(requestClass -> requestClass.latency().count() > 0)
                .map(ResultCharts::percentiles)
                .toList();
        if (!classes.isEmpty()) {
            charts.add(new Chart("Latency by class, first try to answer (ms)", "percentile", false, true, classes));
        }
        charts.add(overTime(
                "Attempts and what became of sessions (a second)",
                false,
                List.of(
                        line(result, "attempts", Second::attempts),
                        line(result, "of them further ones", Second::furtherAttempts),
                        line(result, "denied", Second::denied),
                        line(result, "failed", Second::failed))));
        charts.add(overTime(
                "In flight by server",
                false,
                servers(
                        result,
                        server -> server.inFlight().stream()
                                .map(inFlight -> Math.max(0.0, inFlight))
                                .toList())));
        charts.add(overTime(
                "Weight by server, its share of the attempts (%)",
                false, servers(result, server -> percent(server.weight()))));
        charts.add(overTime(
                "Capacity by server, present share of its own (%)",
                false, servers(result, server -> percent(server.capacity()))));
        return charts.stream().filter(chart -> !chart.series().isEmpty()).toList();
    }

    /** A chart of the service over time, with one line for each result. */
    static Chart comparison(List<RunResult> results) {
        return overTime(
                "Worth earned of the worth asked (%)",
                false,
                results.stream()
                        .filter(result -> !result.seconds().isEmpty())
                        .map(result -> line(result, Report.name(result), ResultCharts::service))
                        .toList());
    }

    private static double service(Second second) {
        return second.worthAsked() > 0 ? 100 * second.worth() / second.worthAsked() : 100;
    }

    private static Chart overTime(String title, boolean logarithmic, List<Series> series) {
        return new Chart(
                title,
                "s",
                true,
                logarithmic,
                series.stream().filter(line -> !line.x().isEmpty()).toList());
    }

    private static Series line(RunResult result, String name, ToDoubleFunction<Second> metric) {
        return new Series(
                name,
                result.seconds().stream()
                        .map(second -> (double) second.second())
                        .toList(),
                result.seconds().stream().map(metric::applyAsDouble).toList());
    }

    /** A line over the seconds that have responses, since the others have no latency. */
    private static Series latencyLine(RunResult result, String name, ToDoubleFunction<Second> metric) {
        List<Second> withResponses =
                result.seconds().stream().filter(second -> second.p50Ms() > 0).toList();
        return new Series(
                name,
                withResponses.stream().map(second -> (double) second.second()).toList(),
                withResponses.stream()
                        .map(second -> Math.max(MIN_LATENCY_MS, metric.applyAsDouble(second)))
                        .toList());
    }

    private static List<Double> percent(List<Double> shares) {
        return shares.stream().map(share -> 100 * share).toList();
    }

    private static Series percentiles(ClassResult requestClass) {
        Histogram histogram = requestClass.latency().decoded();
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        // The samples determine no percentile beyond that of the largest one.
        double maxNines = Math.min(MAX_NINES, Math.log10(Math.max(10, histogram.getTotalCount())));
        for (double nines = 0; nines <= maxNines; nines += NINES_STEP) {
            x.add(nines);
            y.add(Math.max(MIN_LATENCY_MS, histogram.getValueAtPercentile(percentile(nines)) / 1e3));
        }
        return new Series(requestClass.name(), x, y);
    }

    /** Converts a number of nines to a percentile: 1 to 90%, 2 to 99%. */
    static double percentile(double nines) {
        return 100 * (1 - Math.pow(10, -nines));
    }

    /** One line for each server together with its replacements, whose names have a numeric suffix. */
    private static List<Series> servers(RunResult result, Function<ServerResult, List<Double>> metric) {
        Map<String, List<List<Double>>> valuesByServer = new LinkedHashMap<>();
        Map<String, String> groups = new LinkedHashMap<>();
        for (ServerResult server : result.servers()) {
            String name = server.name().replaceAll("\\.\\d+$", "");
            valuesByServer.computeIfAbsent(name, key -> new ArrayList<>()).add(metric.apply(server));
            groups.put(name, server.kind() + " in " + server.zone() + ", mean");
        }
        Map<String, List<List<Double>>> lines = new LinkedHashMap<>();
        valuesByServer.forEach((name, values) -> lines.computeIfAbsent(
                        valuesByServer.size() <= MAX_LINES ? name : groups.get(name), key -> new ArrayList<>())
                .add(sum(values)));
        List<Series> series = new ArrayList<>();
        lines.forEach((name, members) -> series.add(new Series(
                name,
                IntStream.range(0, members.get(0).size())
                        .mapToObj(i -> (double) i)
                        .toList(),
                sum(members).stream().map(sum -> sum / members.size()).toList())));
        return series;
    }

    /** The sum of the lines for each second; the servers of one run have equally many values. */
    private static List<Double> sum(List<List<Double>> lines) {
        return IntStream.range(0, lines.get(0).size())
                .mapToObj(i -> lines.stream().mapToDouble(line -> line.get(i)).sum())
                .toList();
    }
}
