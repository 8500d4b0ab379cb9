package peppergauge.lab.command;

import java.io.PrintWriter;
import java.util.Locale;
import peppergauge.lab.result.RunResult;

/** Formats the result of an emulated or played scenario for the console. */
final class ResultLines {

    private ResultLines() {}

    /** One line with the totals, without a line separator. */
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

    /** Prints one line for each request class. */
    static void classes(RunResult result, PrintWriter console) {
        result.classes()
                .forEach(requestClass -> console.println(String.format(
                        Locale.ROOT,
                        "  %s: service %.4f, latency %.1f ms median, %.1f ms at 99%%",
                        requestClass.name(),
                        requestClass.worthAsked() > 0 ? requestClass.worth() / requestClass.worthAsked() : 1,
                        requestClass.latency().p50Ms(),
                        requestClass.latency().p99Ms())));
    }
}
