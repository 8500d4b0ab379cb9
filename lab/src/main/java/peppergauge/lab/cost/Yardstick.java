package peppergauge.lab.cost;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Fixed work on the sidecar's CPU, timed while the sidecar is not there. A virtual machine's core may slow down for
 * minutes when its host is busy, and nothing under /proc tells. Where this figure differs between two runs, so does
 * the core, and the sidecar's larger program suffers more than this loop.
 */
final class Yardstick {

    private static final int PIECES = 15;
    private static final int STEPS = 2_000_000;

    private Yardstick() {}

    /** The median CPU time of a piece of work, ms. */
    static double ms(int cpu) throws IOException {
        CompletableFuture<Double> result = new CompletableFuture<>();
        Thread thread = new Thread(
                () -> {
                    try {
                        Machine.pin(
                                Files.readSymbolicLink(Path.of("/proc/thread-self"))
                                        .getFileName()
                                        .toString(),
                                cpu);
                        result.complete(work());
                    } catch (IOException | InterruptedException failed) {
                        result.completeExceptionally(failed);
                    }
                },
                "yardstick");
        thread.start();
        try {
            return result.join();
        } catch (CompletionException failed) {
            throw new IOException("no fixed work on CPU " + cpu, failed.getCause());
        }
    }

    private static double work() {
        long[] memory = new long[1 << 15];
        double[] tookMs = new double[PIECES];
        for (int piece = 0; piece < PIECES; piece++) {
            long startNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            long x = 1;
            for (int i = 0; i < STEPS; i++) {
                x ^= x << 13;
                x ^= x >>> 7;
                x ^= x << 17;
                memory[(int) x & (memory.length - 1)] += x;
            }
            tookMs[piece] = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNs) / 1e6;
        }
        Arrays.sort(tookMs);
        return tookMs[PIECES / 2];
    }
}
