package peppergauge.lab.cost;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Times a fixed computation on the sidecar's CPU while no sidecar runs. A virtual machine's core may slow down for
 * minutes when its host is busy, which nothing under /proc shows. If this time differs between two runs, the core's
 * speed differed, and a slower core affects the sidecar, with its larger working set, more than this loop.
 */
final class CpuBenchmark {

    private static final int SAMPLES = 15;
    private static final int STEPS_PER_SAMPLE = 2_000_000;

    private CpuBenchmark() {}

    /** The median CPU time of a sample, ms. */
    static double medianCpuMs(int cpu) throws IOException {
        CompletableFuture<Double> result = new CompletableFuture<>();
        Thread thread = new Thread(
                () -> {
                    try {
                        Machine.pinThread(
                                Files.readSymbolicLink(Path.of("/proc/thread-self"))
                                        .getFileName()
                                        .toString(),
                                cpu);
                        result.complete(measure());
                    } catch (IOException | InterruptedException failed) {
                        result.completeExceptionally(failed);
                    }
                },
                "cpu-benchmark");
        thread.start();
        try {
            return result.join();
        } catch (CompletionException failed) {
            throw new IOException("the CPU benchmark failed on CPU " + cpu, failed.getCause());
        }
    }

    private static double measure() {
        long[] memory = new long[1 << 15];
        double[] durationsMs = new double[SAMPLES];
        for (int sample = 0; sample < SAMPLES; sample++) {
            long startNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            long x = 1;
            for (int i = 0; i < STEPS_PER_SAMPLE; i++) {
                x ^= x << 13;
                x ^= x >>> 7;
                x ^= x << 17;
                memory[(int) x & (memory.length - 1)] += x;
            }
            durationsMs[sample] = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNs) / 1e6;
        }
        Arrays.sort(durationsMs);
        return durationsMs[SAMPLES / 2];
    }
}
