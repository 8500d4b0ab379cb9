package peppergauge.lab.report;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import peppergauge.lab.result.RunResult.Broken;
import peppergauge.lab.result.RunResult.ClassResult;
import peppergauge.lab.result.RunResult.ScriptEvent;
import peppergauge.lab.result.RunResult.Totals;

/** Renders a report as HTML. Text from results is escaped, since names come from files. */
final class HtmlPage {

    private static final String HEAD = """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>peppergauge report</title>
            <style>
            body { font: 14px sans-serif; margin: 2em; max-width: 1040px }
            table { border-collapse: collapse; margin: 1em 0 }
            td, th { border: 1px solid #ccc; padding: 2px 8px; text-align: right }
            td:first-child, th:first-child { text-align: left }
            .broken { color: #a00 }
            svg { max-width: 100%; height: auto; display: block; margin: 0.5em 0 }
            </style></head><body>
            <h1>peppergauge report</h1>
            """;

    private int chartCount;

    private HtmlPage() {}

    static String of(Report report) throws IOException {
        HtmlPage page = new HtmlPage();
        StringBuilder html = new StringBuilder(HEAD);
        if (report.together() != null) {
            html.append(page.svg(report.together(), List.of()));
        }
        for (Report.Run run : report.runs()) {
            html.append("<h2>")
                    .append(escaped(run.name()))
                    .append("</h2>\n")
                    .append(summary(run))
                    .append(broken(run.broken()))
                    .append(events(run.events()));
            for (Chart chart : run.pictures()) {
                html.append(page.svg(chart, run.events()));
            }
        }
        return html.append("</body></html>\n").toString();
    }

    private String svg(Chart chart, List<ScriptEvent> events) throws IOException {
        return SvgRenderer.svg(chart, events, ++chartCount) + "\n";
    }

    private static String summary(Report.Run run) {
        Totals totals = run.totals();
        return format(
                        "<p>Service <b>%.4f</b>: %.0f of %.0f worth. Asked %d: in time %d, late %d, lost %d. Tries %d,"
                                + " attempts %d, denied %d, failed %d, probes %d, connections "
                                + "%d. Work wasted: %.1f%%.</p>%n",
                        run.service(),
                        totals.worth(),
                        totals.worthAsked(),
                        totals.asked(),
                        totals.inTime(),
                        totals.late(),
                        totals.lost(),
                        totals.tries(),
                        totals.attempts(),
                        totals.denied(),
                        totals.failed(),
                        totals.probes(),
                        totals.connections(),
                        totals.workDoneMs() > 0 ? 100 * totals.workWastedMs() / totals.workDoneMs() : 0)
                + "<table><tr><th>class</th><th>asked</th><th>service</th><th>median, ms</th><th>90%</th><th>99%</th>"
                + "<th>99.9%</th><th>max</th></tr>\n"
                + run.classes().stream().map(HtmlPage::row).collect(Collectors.joining()) + "</table>\n";
    }

    private static String row(ClassResult requestClass) {
        return format(
                "<tr><td>%s</td><td>%d</td><td>%.4f</td><td>%.1f</td><td>%.1f</td><td>%.1f</td><td>%.1f</td>"
                        + "<td>%.1f</td></tr>%n",
                escaped(requestClass.name()),
                requestClass.asked(),
                requestClass.worthAsked() > 0 ? requestClass.worth() / requestClass.worthAsked() : 1,
                requestClass.latency().p50Ms(),
                requestClass.latency().p90Ms(),
                requestClass.latency().p99Ms(),
                requestClass.latency().p999Ms(),
                requestClass.latency().maxMs());
    }

    private static String broken(List<Broken> broken) {
        return broken.stream()
                .map(violation -> format(
                        "<p class=\"broken\">Rule %s broken at %.3f s: %s</p>%n",
                        escaped(violation.rule()), violation.atS(), escaped(violation.about())))
                .collect(Collectors.joining());
    }

    private static String events(List<ScriptEvent> events) {
        if (events.isEmpty()) {
            return "";
        }
        StringBuilder list = new StringBuilder("<ol>\n");
        events.forEach(event -> list.append(format(
                "<li>%.1f to %.1f s: %s, %s</li>%n",
                event.atS(), event.untilS(), escaped(event.what()), escaped(event.target()))));
        return list.append("</ol>\n").toString();
    }

    private static String format(String text, Object... values) {
        return String.format(Locale.ROOT, text, values);
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
