package peppergauge.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Measures what one sidecar costs; docs/COST.md says how and what the figures mean. */
public final class Cost {

    private static volatile SidecarProcess running;

    private Cost() { }

    public static void main(String[] args) throws Exception {
        Path own = Path.of(System.getProperty("cost.root", "."));
        Options options;
        try {
            options = Options.parse(args, own);
        } catch (IllegalArgumentException | IOException unusable) {
            System.err.println("cost: " + unusable.getMessage() + "\n" + Options.USAGE);
            System.exit(2);
            return;
        }
        // A thread that dies would leave a round that measures nothing.
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            System.err.println("cost: " + thread.getName() + " failed");
            thrown.printStackTrace();
            System.exit(1);
        });
        // The sidecar has a process group of its own, which an interrupt from the terminal does not reach.
        Runtime.getRuntime().addShutdownHook(new Thread(Cost::end, "end"));
        try {
            measure(options, Example.read(own));
        } catch (IOException failed) {
            System.err.println("cost: " + failed.getMessage());
            System.exit(1);
        }
    }

    private static void measure(Options options, Map<String, Object> example)
            throws IOException, InterruptedException {
        Map<String, Object> facts = Machine.facts();
        Machine.leave(options.cpu());
        System.out.println(facts + ", sidecar on CPU " + options.cpu()
                + (options.quota() < 1 ? ", stopped for all but " + options.quota() + " of the time" : ""));
        List<Object> results = new ArrayList<>();
        for (String name : options.scenarios()) {
            double beforeMs = Yardstick.ms(options.cpu());
            Map<String, Object> result = name.equals(Scenario.START) ? StartRun.run(options, example)
                    : new LoadRun(options, Scenario.named(name).with(options.delay()), example).run();
            double afterMs = Yardstick.ms(options.cpu());
            Print.yardstick(beforeMs, afterMs);
            result.put("yardstickMs", List.of(beforeMs, afterMs));
            results.add(result);
        }
        if (options.json() != null) {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("machine", facts);
            all.put("run", options.run());
            all.put("quota", options.quota());
            all.put("servers", options.servers());
            all.put("seconds", options.seconds());
            all.put("warmup", options.warmup());
            all.put("results", results);
            Files.writeString(options.json(), Json.text(all) + "\n");
        }
    }

    /** Starts a sidecar that ends with the harness, however that ends. */
    static SidecarProcess start(Options options, Map<String, Object> example, StandIns standIns) throws IOException {
        running = new SidecarProcess(options, example, standIns);
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
