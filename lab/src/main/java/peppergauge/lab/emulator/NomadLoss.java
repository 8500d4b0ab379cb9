package peppergauge.lab.emulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import peppergauge.lab.nomad.ApiFault;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Discovery;
import peppergauge.lab.scenario.Discovery.Source;
import peppergauge.lab.scenario.Incident;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;
import peppergauge.log.Log;

/**
 * Measures the loss of service from each fault of Nomad's API in pairs of runs with the same seed: perfect discovery,
 * healthy Nomad, and Nomad with the fault. Usage:
 * {@code java -cp peppergauge-lab.jar peppergauge.lab.emulator.NomadLoss 40} (number of seeds). With a second argument,
 * whatever its value, only the runs without faults are made.
 */
final class NomadLoss {

    static final double FAULT_START_S = 15;
    private static final double FAULT_LENGTH_S = 15;

    private NomadLoss() {}

    /** The scenario nomad-wrong with another discovery source, and another script entry in place of its fault. */
    static Scenario scenario(Source source, Optional<ScheduledIncident> incident) {
        Scenario stock = BundledScenarios.scenario("nomad-wrong");
        List<ScheduledIncident> entries = new ArrayList<>(stock.entries().stream()
                .filter(entry -> entry.what() != Incident.DISCOVERY_FAULT)
                .toList());
        incident.ifPresent(entries::add);
        Discovery discovery = stock.discovery();
        return new Scenario(
                stock.run(),
                stock.network(),
                stock.servers(),
                stock.classes(),
                stock.tenants(),
                stock.clients(),
                stock.sidecars(),
                new Discovery(
                        source,
                        discovery.notice(),
                        discovery.spread(),
                        discovery.silentNotice(),
                        discovery.calls(),
                        discovery.answered(),
                        discovery.pace()),
                stock.rules(),
                entries,
                stock.promises(),
                stock.contracts());
    }

    static ScheduledIncident entry(Incident what, ApiFault fault, double size) {
        return new ScheduledIncident(
                Duration.ofMillis((long) (1e3 * FAULT_START_S)),
                what,
                "all",
                Optional.of(Duration.ofMillis((long) (1e3 * FAULT_LENGTH_S))),
                size > 0 ? Optional.of(size) : Optional.empty(),
                Optional.empty(),
                Optional.ofNullable(fault));
    }

    /** Service by seed; throws an AssertionError if a run violates a rule. */
    static double[] services(Scenario scenario, int seeds, ExecutorService pool) throws Exception {
        List<Future<RunResult>> runs = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            Scenario seeded = scenario.withSeed(seed);
            runs.add(pool.submit(() -> Emulator.run("nomad", seeded)));
        }
        double[] services = new double[seeds];
        for (int i = 0; i < seeds; i++) {
            RunResult result = runs.get(i).get();
            if (!result.broken().isEmpty()) {
                throw new AssertionError("seed " + (i + 1) + ": " + result.broken());
            }
            services[i] = result.totals().service();
        }
        return services;
    }

    static double mean(double[] values) {
        double sum = 0;
        for (double each : values) {
            sum += each;
        }
        return sum / values.length;
    }

    private static void print(String name, double[] services, double[] reference) {
        double[] losses = new double[services.length];
        double squares = 0;
        for (int i = 0; i < losses.length; i++) {
            losses[i] = reference[i] - services[i];
        }
        double mean = mean(losses);
        for (double each : losses) {
            squares += (each - mean) * (each - mean);
        }
        double error = Math.sqrt(squares / (losses.length - 1) / losses.length);
        System.out.printf("| %-28s | %.4f | %+.4f ± %.4f |%n", name, mean(services), -mean, 1.96 * error);
    }

    public static void main(String[] args) throws Exception {
        int seeds = Integer.parseInt(args[0]);
        Log.setSink((kind, text, passedOver) -> {});
        ExecutorService pool = Executors.newFixedThreadPool(Integer.getInteger("workers", 8), task -> {
            Thread thread = new Thread(task, "runs");
            thread.setDaemon(true);
            return thread;
        });
        double[] perfect = services(scenario(Source.PERFECT, Optional.empty()), seeds, pool);
        print("perfect", perfect, perfect);
        double[] healthy = services(scenario(Source.NOMAD, Optional.empty()), seeds, pool);
        print("Nomad healthy, to perfect", healthy, perfect);
        double[] watch = services(scenario(Source.PLATFORM, Optional.empty()), seeds, pool);
        print("plain watch, to perfect", watch, perfect);
        if (args.length > 1) {
            return;
        }
        for (Incident each : List.of(Incident.DISCOVERY_DOWN, Incident.DISCOVERY_EMPTY, Incident.DISCOVERY_LATE)) {
            Optional<ScheduledIncident> incident =
                    Optional.of(entry(each, null, each == Incident.DISCOVERY_LATE ? 5 : 0));
            print("plain watch, " + each.written(), services(scenario(Source.PLATFORM, incident), seeds, pool), watch);
            print("Nomad, " + each.written(), services(scenario(Source.NOMAD, incident), seeds, pool), healthy);
        }
        for (ApiFault fault : ApiFault.values()) {
            if (fault != ApiFault.NONE) {
                print(
                        fault.name(),
                        services(
                                scenario(Source.NOMAD, Optional.of(entry(Incident.DISCOVERY_FAULT, fault, 0))),
                                seeds,
                                pool),
                        healthy);
            }
        }
        pool.shutdown();
    }
}
