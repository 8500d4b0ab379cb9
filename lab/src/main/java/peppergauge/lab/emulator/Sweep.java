package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Scenario;

/** Runs a scenario with many seeds on several threads; results do not depend on the number of threads. */
public final class Sweep {

    private Sweep() {}

    /**
     * Runs every seed from {@code first} to {@code last}, both included.
     *
     * @param workers threads, 1 or more
     * @param each receives the results in order of the seeds, on the caller's thread
     * @throws InterruptedException if the caller's thread is interrupted; runs that have begun are completed
     */
    public static void run(String name, Scenario scenario, long first, long last, int workers, Consumer<RunResult> each)
            throws InterruptedException {
        run(name, scenario, first, last, workers, PlantedFault.NONE, each);
    }

    static void run(
            String name,
            Scenario scenario,
            long first,
            long last,
            int workers,
            PlantedFault faults,
            Consumer<RunResult> each)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(workers);
        try {
            // Runs are submitted in batches, so that a long sweep does not hold all results at once.
            int window = 4 * workers;
            for (long from = first; from <= last; from += window) {
                List<Callable<RunResult>> runs = new ArrayList<>();
                LongStream.rangeClosed(from, Math.min(last, from + window - 1))
                        .forEach(seed -> runs.add(() -> Emulator.run(name, scenario.withSeed(seed), faults)));
                for (Future<RunResult> run : pool.invokeAll(runs)) {
                    each.accept(run.get());
                }
            }
        } catch (ExecutionException failed) {
            throw new IllegalStateException(
                    "a run of " + name + " with one of the seeds " + first + " to " + last + " failed",
                    failed.getCause());
        } finally {
            pool.shutdown();
        }
    }
}
