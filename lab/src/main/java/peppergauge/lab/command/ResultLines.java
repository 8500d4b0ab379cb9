package peppergauge.lab.command;

import java.io.PrintWriter;
import java.util.Locale;
import peppergauge.lab.result.RunResult;

/** What the console says of a scenario that was played, in whatever time. */
final class ResultLines {

    private ResultLines() {}

    /** One line of counts, without its end. */
    static String totals(RunResult result) {
        RunResult.Totals totals = result.totals();
        return String.format(
                Locale.ROOT,
                "%s, seed %d: service %.4f; asked %d, in time %d, late %d, lost %d;"
                        + " attempts %d, denied %d, failed %d",
                result.scenario(),
                result.seed(),
                totals.service(),
                totals.asked(),
                totals.inTime(),
                totals.late(),
                totals.lost(),
                totals.attempts(),
                totals.denied(),
                totals.failed());
    }

    /** A line for each class of requests. */
    static void classes(RunResult result, PrintWriter console) {
        result.classes()
                .forEach(each -> console.println(String.format(
                        Locale.ROOT,
                        "  %s: service %.4f, latency %.1f ms median, %.1f ms at 99%%",
                        each.name(),
                        each.worthAsked() > 0 ? each.worth() / each.worthAsked() : 1,
                        each.latency().p50Ms(),
                        each.latency().p99Ms())));
    }
}
