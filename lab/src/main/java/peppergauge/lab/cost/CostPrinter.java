package peppergauge.lab.cost;

import java.io.PrintWriter;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import peppergauge.lab.load.Tally;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.process.Usage;

/** Prints measured figures as text tables. */
final class CostPrinter {

    private final PrintWriter out;

    CostPrinter(PrintWriter out) {
        this.out = out;
    }

    void start(SidecarProcess.StartTimes took) {
        line("started in %.0f ms with %.0f ms of CPU time", took.wallMs(), took.cpuMs());
    }

    void baseline(Tally tally) {
        line(
                "load without a sidecar: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms",
                tally.latencyMs(50), tally.latencyMs(99), tally.latencyMs(99.9));
    }

    void roundHeader() {
        line(
                "%5s %8s %8s %8s %8s %8s %8s %8s %7s %8s %8s %8s %8s %8s  %s",
                "round",
                "requests",
                "per s",
                "us CPU",
                "switches",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "RSS MB",
                "threads",
                "others %",
                "lag ms",
                "probes",
                "connects",
                "ends");
    }

    void round(int number, LoadRun.Round round) {
        line(
                "%5d %8d %8.0f %8.0f %8.2f %8.2f %8.2f %8.2f %7d %8d %8.1f %8s %8.3f %8d  %s",
                number,
                round.requests(),
                round.perS(),
                round.cpuUs(),
                round.switches(),
                round.p50Ms(),
                round.p99Ms(),
                round.p999Ms(),
                round.rssMb(),
                round.threads(),
                round.othersShare() * 100,
                lag(round.lagMs()),
                round.probes(),
                round.connections(),
                ends(round.ends()));
    }

    /** A closed loop has no scheduled send times and thus no lag. */
    private static String lag(double ms) {
        return Double.isNaN(ms) ? "-" : String.format(Locale.ROOT, "%.2f", ms);
    }

    private static String ends(Map<String, Integer> ends) {
        return ends.toString().replaceAll("[{}]", "").replace('=', ':');
    }

    /** Prints threads by CPU time, largest first. The total includes threads that ended or were never seen running. */
    void threads(Usage.Spent spent) {
        line("CPU time by thread over all rounds, %.0f ms in total:", spent.cpuMs());
        spent.cpuMsByThread().entrySet().stream()
                .filter(thread -> thread.getValue() > 0)
                .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
                .forEach(thread -> line(
                        "  %-16s %7.0f ms %5.1f %%",
                        thread.getKey(), thread.getValue(), 100 * thread.getValue() / spent.cpuMs()));
    }

    void cpuBenchmark(double beforeMs, double afterMs) {
        line("CPU benchmark: %.2f ms before, %.2f ms after", beforeMs, afterMs);
    }

    void spreadHeader() {
        line("%-12s %8s %8s %8s", "", "min", "median", "max");
    }

    void spread(String name, double min, double median, double max) {
        line("%-12s %8.0f %8.0f %8.0f", name, min, median, max);
    }

    private void line(String format, Object... values) {
        out.println(String.format(Locale.ROOT, format, values));
    }
}
