package peppergauge.lab.cost;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.standin.Delay;

/** Starts and stops a sidecar without load, again and again. */
final class StartRun {

    private static final int STARTS = 9;

    private StartRun() {}

    static Map<String, Object> run(Options options, Map<String, Object> example)
            throws IOException, InterruptedException {
        List<SidecarProcess.Took> starts = new ArrayList<>();
        List<SidecarProcess.Took> stops = new ArrayList<>();
        options.out().println("\nstart: " + options.roundsOr(STARTS) + " starts and stops without load");
        try (StandIns standIns =
                new StandIns(options.servers(), new Delay(0, false), Example.zone(example), options.seed())) {
            for (int i = 0; i < options.roundsOr(STARTS); i++) {
                try (SidecarProcess sidecar = Cost.start(options, example, standIns)) {
                    starts.add(sidecar.awaitUp());
                    stops.add(sidecar.terminate());
                }
            }
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("scenario", Scenario.START);
        Print print = new Print(options.out());
        print.spreadHead();
        spread(print, result, "startWallMs", starts, SidecarProcess.Took::wallMs);
        spread(print, result, "startCpuMs", starts, SidecarProcess.Took::cpuMs);
        spread(print, result, "stopWallMs", stops, SidecarProcess.Took::wallMs);
        spread(print, result, "stopCpuMs", stops, SidecarProcess.Took::cpuMs);
        return result;
    }

    private static void spread(
            Print print,
            Map<String, Object> result,
            String name,
            List<SidecarProcess.Took> took,
            ToDoubleFunction<SidecarProcess.Took> figure) {
        double[] sorted = took.stream().mapToDouble(figure).sorted().toArray();
        int half = sorted.length / 2;
        double median = sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
        print.spread(name, sorted[0], median, sorted[sorted.length - 1]);
        result.put(name, took.stream().mapToDouble(figure).boxed().toList());
    }
}
