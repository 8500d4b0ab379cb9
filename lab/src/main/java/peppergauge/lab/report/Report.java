package peppergauge.lab.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.Broken;
import peppergauge.lab.result.RunResult.ClassResult;
import peppergauge.lab.result.RunResult.ScriptEvent;
import peppergauge.lab.result.RunResult.Totals;

/**
 * The data of a report.
 *
 * @param together chart with one line for each result; null for a single result
 * @param runs one entry for each result, in their order
 */
public record Report(Chart together, List<Run> runs) {

    /**
     * The part of a report on one result.
     *
     * @param name scenario, seed, and the command that produced the result
     * @param service share of the requested worth that was earned, 0 to 1
     */
    public record Run(
            String name,
            double service,
            Totals totals,
            List<ClassResult> classes,
            List<Broken> broken,
            List<ScriptEvent> events,
            List<Chart> pictures) {

        /** Copies the lists. */
        public Run {
            classes = List.copyOf(classes);
            broken = List.copyOf(broken);
            events = List.copyOf(events);
            pictures = List.copyOf(pictures);
        }
    }

    /** Copies the list. */
    public Report {
        runs = List.copyOf(runs);
    }

    /** @param results results to report, at least one */
    public static Report of(List<RunResult> results) {
        List<Run> runs = new ArrayList<>();
        for (RunResult result : results) {
            runs.add(new Run(
                    name(result),
                    result.totals().service(),
                    result.totals(),
                    result.classes(),
                    result.broken(),
                    result.events(),
                    ResultCharts.of(result)));
        }
        return new Report(results.size() < 2 ? null : ResultCharts.comparison(results), runs);
    }

    static String name(RunResult result) {
        return result.scenario() + ", seed " + result.seed() + ", " + result.made();
    }

    /** All data of the page as JSON. */
    public String json() {
        try {
            return JsonMapper.builder()
                            .enable(SerializationFeature.INDENT_OUTPUT)
                            .build()
                            .writeValueAsString(this) + "\n";
        } catch (JsonProcessingException failed) {
            throw new IllegalStateException(failed);
        }
    }

    /**
     * A self-contained HTML page.
     *
     * @throws IOException if a chart cannot be rendered
     */
    public String html() throws IOException {
        return HtmlPage.of(this);
    }
}
