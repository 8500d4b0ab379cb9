package peppergauge.lab.cost;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.wire.Listener;

/** Measures the CPU, latency, memory and start cost of one sidecar; docs/COST.md explains method and figures. */
public final class CostMeasurement {

    private static volatile SidecarProcess runningSidecar;

    private CostMeasurement() {}

    /**
     * Runs the measurements and prints their results one by one.
     *
     * @throws IOException if the sidecar or a stand-in cannot be started, or the CPU affinity cannot be set
     */
    public static void run(CostOptions options) throws IOException, InterruptedException {
        // After an uncaught exception in a thread, the rounds would measure nothing.
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            System.err.println("cost: uncaught exception in thread " + thread.getName());
            thrown.printStackTrace();
            Runtime.getRuntime().exit(1);
        });
        // The sidecar has its own process group, which an interrupt from the terminal does not reach.
        Runtime.getRuntime().addShutdownHook(new Thread(CostMeasurement::stopSidecar, "cost-shutdown"));
        measure(options, ExampleConfig.read(options.home()));
    }

    private static void measure(CostOptions options, Map<String, Object> example)
            throws IOException, InterruptedException {
        Map<String, Object> machineFacts = Machine.facts();
        int cpu = options.launch().cpu();
        Machine.excludeCpu(cpu);
        double quota = options.launch().quota();
        options.out()
                .println(machineFacts + ", sidecar on CPU " + cpu
                        + (quota < 1 ? ", limited to a share of " + quota + " of its time" : ""));
        CostPrinter printer = new CostPrinter(options.out());
        List<Object> results = new ArrayList<>();
        for (String name : options.loads()) {
            double beforeMs = CpuBenchmark.medianCpuMs(cpu);
            Map<String, Object> result = name.equals(LoadProfile.START)
                    ? StartRun.run(options, example)
                    : new LoadRun(options, LoadProfile.named(name).withDelay(options.delay()), example).run();
            double afterMs = CpuBenchmark.medianCpuMs(cpu);
            printer.cpuBenchmark(beforeMs, afterMs);
            result.put("yardstickMs", List.of(beforeMs, afterMs));
            results.add(result);
        }
        if (options.json() != null) {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("machine", machineFacts);
            all.put("run", options.launch().run());
            all.put("quota", quota);
            all.put("servers", options.servers());
            all.put("seconds", options.seconds());
            all.put("warmup", options.warmup());
            all.put("results", results);
            new JsonMapper().writeValue(options.json().toFile(), all);
        }
    }

    /** Starts a sidecar that a shutdown hook stops when this process ends. */
    static SidecarProcess start(CostOptions options, Map<String, Object> example, StandIns standIns)
            throws IOException {
        Map<String, Object> config = new LinkedHashMap<>(example);
        config.put("discovery", Listener.text(standIns.discovery()));
        config.put("known", standIns.serverList());
        runningSidecar = new SidecarProcess(options.launch(), SidecarProcess.freeAddress(), config);
        return runningSidecar;
    }

    private static void stopSidecar() {
        try {
            if (runningSidecar != null) {
                runningSidecar.close();
            }
        } catch (IOException failed) {
            System.err.println("cost: cannot stop the sidecar: " + failed.getMessage());
        }
    }
}
