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
 * A report: what the page shows, as data.
 *
 * @param together one line for each result; null if there is but one
 * @param runs one for each result, in their order
 */
public record Report(Picture together, List<Run> runs) {

    /**
     * What is shown of one result.
     *
     * @param name scenario, seed and how it was made
     * @param service worth earned of the worth asked, 0 to 1
     */
    public record Run(
            String name,
            double service,
            Totals totals,
            List<ClassResult> classes,
            List<Broken> broken,
            List<ScriptEvent> events,
            List<Picture> pictures) {

        /** Lists that nobody changes. */
        public Run {
            classes = List.copyOf(classes);
            broken = List.copyOf(broken);
            events = List.copyOf(events);
            pictures = List.copyOf(pictures);
        }
    }

    /** Runs as a list that nobody changes. */
    public Report {
        runs = List.copyOf(runs);
    }

    /** @param results at least one */
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
                    Pictures.of(result)));
        }
        return new Report(results.size() < 2 ? null : Pictures.together(results), runs);
    }

    static String name(RunResult result) {
        return result.scenario() + ", seed " + result.seed() + ", " + result.made();
    }

    /** All that the page shows. */
    public String json() {
        try {
            return JsonMapper.builder()
                            .enable(SerializationFeature.INDENT_OUTPUT)
                            .build()
                            .writeValueAsString(this) + "\n";
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * One page that needs no other file.
     *
     * @throws IOException if a picture cannot be drawn
     */
    public String html() throws IOException {
        return Page.of(this);
    }
}
