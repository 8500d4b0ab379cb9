package peppergauge.lab.cost;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.wire.Listener;

/** Measures what one sidecar costs; docs/COST.md says how and what the figures mean. */
public final class Cost {

    private static volatile SidecarProcess running;

    private Cost() {}

    /**
     * Measures, and prints as it goes.
     *
     * @throws IOException if the sidecar, a stand-in or the machine refuses
     */
    public static void run(Options options) throws IOException, InterruptedException {
        // A thread that dies would leave a round that measures nothing.
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            System.err.println("cost: " + thread.getName() + " failed");
            thrown.printStackTrace();
            Runtime.getRuntime().exit(1);
        });
        // The sidecar has a process group of its own, which an interrupt from the terminal does not reach.
        Runtime.getRuntime().addShutdownHook(new Thread(Cost::end, "end"));
        measure(options, Example.read(options.own()));
    }

    private static void measure(Options options, Map<String, Object> example) throws IOException, InterruptedException {
        Map<String, Object> facts = Machine.facts();
        int cpu = options.launch().cpu();
        Machine.leave(cpu);
        double quota = options.launch().quota();
        options.out()
                .println(facts + ", sidecar on CPU " + cpu
                        + (quota < 1 ? ", stopped for all but " + quota + " of the time" : ""));
        Print print = new Print(options.out());
        List<Object> results = new ArrayList<>();
        for (String name : options.scenarios()) {
            double beforeMs = Yardstick.ms(cpu);
            Map<String, Object> result = name.equals(Scenario.START)
                    ? StartRun.run(options, example)
                    : new LoadRun(options, Scenario.named(name).with(options.delay()), example).run();
            double afterMs = Yardstick.ms(cpu);
            print.yardstick(beforeMs, afterMs);
            result.put("yardstickMs", List.of(beforeMs, afterMs));
            results.add(result);
        }
        if (options.json() != null) {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("machine", facts);
            all.put("run", options.launch().run());
            all.put("quota", quota);
            all.put("servers", options.servers());
            all.put("seconds", options.seconds());
            all.put("warmup", options.warmup());
            all.put("results", results);
            new JsonMapper().writeValue(options.json().toFile(), all);
        }
    }

    /** Starts a sidecar that ends with the harness, however that ends. */
    static SidecarProcess start(Options options, Map<String, Object> example, StandIns standIns) throws IOException {
        Map<String, Object> config = new LinkedHashMap<>(example);
        config.put("discovery", Listener.text(standIns.discovery()));
        config.put("known", standIns.table());
        running = new SidecarProcess(options.launch(), SidecarProcess.freeAddress(), config);
        return running;
    }

    private static void end() {
        try {
            if (running != null) {
                running.close();
            }
        } catch (IOException failed) {
            System.err.println("cost: " + failed.getMessage());
        }
    }
}
