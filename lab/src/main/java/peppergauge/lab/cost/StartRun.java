package peppergauge.lab.cost;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.standin.Delay;

/** Measures repeated starts and stops of a sidecar without load. */
final class StartRun {

    private static final int DEFAULT_STARTS = 9;

    private StartRun() {}

    static Map<String, Object> run(CostOptions options, Map<String, Object> example)
            throws IOException, InterruptedException {
        List<SidecarProcess.StartTimes> starts = new ArrayList<>();
        List<SidecarProcess.StartTimes> stops = new ArrayList<>();
        options.out().println("\nstart: " + options.roundsOr(DEFAULT_STARTS) + " starts and stops without load");
        try (StandIns standIns = new StandIns(
                options.servers(), new Delay(0, false), ExampleConfig.firstZone(example), options.seed())) {
            for (int i = 0; i < options.roundsOr(DEFAULT_STARTS); i++) {
                try (SidecarProcess sidecar = CostMeasurement.start(options, example, standIns)) {
                    starts.add(sidecar.awaitUp());
                    stops.add(sidecar.terminate());
                }
            }
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("scenario", LoadProfile.START);
        CostPrinter printer = new CostPrinter(options.out());
        printer.spreadHeader();
        spread(printer, result, "startWallMs", starts, SidecarProcess.StartTimes::wallMs);
        spread(printer, result, "startCpuMs", starts, SidecarProcess.StartTimes::cpuMs);
        spread(printer, result, "stopWallMs", stops, SidecarProcess.StartTimes::wallMs);
        spread(printer, result, "stopCpuMs", stops, SidecarProcess.StartTimes::cpuMs);
        return result;
    }

    private static void spread(
            CostPrinter printer,
            Map<String, Object> result,
            String name,
            List<SidecarProcess.StartTimes> took,
            ToDoubleFunction<SidecarProcess.StartTimes> metric) {
        double[] sorted = took.stream().mapToDouble(metric).sorted().toArray();
        int half = sorted.length / 2;
        double median = sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
        printer.spread(name, sorted[0], median, sorted[sorted.length - 1]);
        result.put(name, took.stream().mapToDouble(metric).boxed().toList());
    }
}
