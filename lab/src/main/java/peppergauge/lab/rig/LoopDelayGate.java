package peppergauge.lab.rig;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import peppergauge.lab.wire.Loop;

/**
 * Waits until an event loop's thread gets its CPU time in time. Dozens of processes that start at once leave it none
 * for seconds, and requests sent in that time violate rules through no fault of a sidecar.
 */
final class LoopDelayGate {

    private static final int SAMPLES = 20;
    private static final long SAMPLE_INTERVAL_MS = 50;
    /** Limit of the sum of all samples' delays. */
    private static final long MAX_TOTAL_DELAY_NS = 100_000_000;

    private LoopDelayGate() {}

    /** Returns whether the event loop's delays fell below the limit within this time. */
    static boolean awaitSettled(Loop loop, long maxWaitNs) throws InterruptedException {
        long startNs = System.nanoTime();
        while (System.nanoTime() - startNs < maxWaitNs) {
            if (totalDelayNs(loop, maxWaitNs) <= MAX_TOTAL_DELAY_NS) {
                return true;
            }
        }
        return false;
    }

    private static long totalDelayNs(Loop loop, long maxWaitNs) throws InterruptedException {
        long totalDelayNs = 0;
        for (int i = 0; i < SAMPLES && totalDelayNs <= MAX_TOTAL_DELAY_NS; i++) {
            long askedNs = System.nanoTime();
            CompletableFuture<Long> seen = new CompletableFuture<>();
            loop.post(() -> seen.complete(System.nanoTime()));
            try {
                totalDelayNs += seen.get(maxWaitNs, TimeUnit.NANOSECONDS) - askedNs;
            } catch (TimeoutException | ExecutionException never) {
                return maxWaitNs;
            }
            TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL_MS);
        }
        return totalDelayNs;
    }
}
