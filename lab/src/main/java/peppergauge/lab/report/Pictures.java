package peppergauge.lab.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import peppergauge.lab.report.Picture.Series;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.ClassResult;
import peppergauge.lab.result.RunResult.Second;
import peppergauge.lab.result.RunResult.ServerResult;

/** What is drawn of a result. */
final class Pictures {

    /** More lines than these say nothing: servers of one kind and zone are then drawn as their mean. */
    private static final int MOST_LINES = 24;
    /** Percentiles up to 99.99, by how many nines they have: the far end is what matters. */
    private static final double MOST_NINES = 4;

    private static final double NINES_STEP = 0.05;
    private static final double LEAST_MS = 0.1;

    private Pictures() {}

    static List<Picture> of(RunResult result) {
        List<Picture> all = new ArrayList<>();
        all.add(overTime(
                "Worth earned of the worth asked, by when it was asked (%)",
                false, List.of(line(result, "worth", Pictures::service))));
        all.add(overTime(
                "Latency of answers, by when they came (ms)",
                true,
                List.of(answered(result, "median", Second::p50Ms), answered(result, "99%", Second::p99Ms))));
        List<Series> kinds = result.classes().stream()
                .filter(kind -> kind.latency().count() > 0)
                .map(Pictures::percentiles)
                .toList();
        if (!kinds.isEmpty()) {
            all.add(new Picture("Latency by class, first try to answer (ms)", "percentile", false, true, kinds));
        }
        all.add(overTime(
                "Attempts and what became of sessions (a second)",
                false,
                List.of(
                        line(result, "attempts", Second::attempts),
                        line(result, "of them further ones", Second::furtherAttempts),
                        line(result, "denied", Second::denied),
                        line(result, "failed", Second::failed))));
        all.add(overTime(
                "In flight by server",
                false,
                servers(
                        result,
                        server -> server.inFlight().stream()
                                .map(held -> Math.max(0.0, held))
                                .toList())));
        all.add(overTime(
                "Weight by server, its share of the attempts (%)",
                false, servers(result, server -> percent(server.weight()))));
        all.add(overTime(
                "Capacity by server, present share of its own (%)",
                false, servers(result, server -> percent(server.capacity()))));
        return all.stream().filter(picture -> !picture.series().isEmpty()).toList();
    }

    /** One line for each of several results. */
    static Picture together(List<RunResult> results) {
        return overTime(
                "Worth earned of the worth asked (%)",
                false,
                results.stream()
                        .filter(result -> !result.seconds().isEmpty())
                        .map(result -> line(result, Report.name(result), Pictures::service))
                        .toList());
    }

    private static double service(Second second) {
        return second.worthAsked() > 0 ? 100 * second.worth() / second.worthAsked() : 100;
    }

    private static Picture overTime(String title, boolean logarithmic, List<Series> series) {
        return new Picture(
                title,
                "s",
                true,
                logarithmic,
                series.stream().filter(line -> !line.x().isEmpty()).toList());
    }

    private static Series line(RunResult result, String name, ToDoubleFunction<Second> figure) {
        return new Series(
                name,
                result.seconds().stream()
                        .map(second -> (double) second.second())
                        .toList(),
                result.seconds().stream().map(figure::applyAsDouble).toList());
    }

    /** Seconds without an answer have no latency. */
    private static Series answered(RunResult result, String name, ToDoubleFunction<Second> figure) {
        List<Second> some =
                result.seconds().stream().filter(second -> second.p50Ms() > 0).toList();
        return new Series(
                name,
                some.stream().map(second -> (double) second.second()).toList(),
                some.stream()
                        .map(second -> Math.max(LEAST_MS, figure.applyAsDouble(second)))
                        .toList());
    }

    private static List<Double> percent(List<Double> shares) {
        return shares.stream().map(share -> 100 * share).toList();
    }

    private static Series percentiles(ClassResult kind) {
        Histogram histogram = kind.latency().decoded();
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        // Beyond one of the samples there is nothing to show.
        double most = Math.min(MOST_NINES, Math.log10(Math.max(10, histogram.getTotalCount())));
        for (double nines = 0; nines <= most; nines += NINES_STEP) {
            x.add(nines);
            y.add(Math.max(LEAST_MS, histogram.getValueAtPercentile(percentile(nines)) / 1e3));
        }
        return new Series(kind.name(), x, y);
    }

    /** 1 is 90%, 2 is 99% and so on. */
    static double percentile(double nines) {
        return 100 * (1 - Math.pow(10, -nines));
    }

    /** One line for each place: a server and those that came in its stead. */
    private static List<Series> servers(RunResult result, Function<ServerResult, List<Double>> figure) {
        Map<String, List<List<Double>>> places = new LinkedHashMap<>();
        Map<String, String> groups = new LinkedHashMap<>();
        for (ServerResult server : result.servers()) {
            String place = server.name().replaceAll("\\.\\d+$", "");
            places.computeIfAbsent(place, key -> new ArrayList<>()).add(figure.apply(server));
            groups.put(place, server.kind() + " in " + server.zone() + ", mean");
        }
        Map<String, List<List<Double>>> lines = new LinkedHashMap<>();
        places.forEach((place, lives) -> lines.computeIfAbsent(
                        places.size() <= MOST_LINES ? place : groups.get(place), key -> new ArrayList<>())
                .add(sum(lives)));
        List<Series> series = new ArrayList<>();
        lines.forEach((name, members) -> series.add(new Series(
                name,
                IntStream.range(0, members.get(0).size())
                        .mapToObj(i -> (double) i)
                        .toList(),
                sum(members).stream().map(sum -> sum / members.size()).toList())));
        return series;
    }

    /** Second by second; servers of one run have equally many. */
    private static List<Double> sum(List<List<Double>> lines) {
        return IntStream.range(0, lines.get(0).size())
                .mapToObj(i -> lines.stream().mapToDouble(line -> line.get(i)).sum())
                .toList();
    }
}
