package peppergauge.lab.rig;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import peppergauge.lab.wire.Loop;

/**
 * Waits until a loop's thread gets its CPU when it needs it. Dozens of processes that start at one moment leave it none
 * for seconds, and sessions that were asked then broke rules by no fault of a sidecar's.
 */
final class LoopDelayGate {

    private static final int SAMPLES = 20;
    private static final long SAMPLE_INTERVAL_MS = 50;
    /** Of all looks together. */
    private static final long MAX_TOTAL_DELAY_NS = 100_000_000;

    private LoopDelayGate() {}

    /** False if it did not come to that in this time. */
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
