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

    private static final int LOOKS = 20;
    private static final long PAUSE_MS = 50;
    /** Of all looks together. */
    private static final long MOST_LATE_NS = 100_000_000;

    private LoopDelayGate() {}

    /** False if it did not come to that in this time. */
    static boolean await(Loop loop, long longestNs) throws InterruptedException {
        long startNs = System.nanoTime();
        while (System.nanoTime() - startNs < longestNs) {
            if (lateNs(loop, longestNs) <= MOST_LATE_NS) {
                return true;
            }
        }
        return false;
    }

    private static long lateNs(Loop loop, long longestNs) throws InterruptedException {
        long lateNs = 0;
        for (int i = 0; i < LOOKS && lateNs <= MOST_LATE_NS; i++) {
            long askedNs = System.nanoTime();
            CompletableFuture<Long> seen = new CompletableFuture<>();
            loop.post(() -> seen.complete(System.nanoTime()));
            try {
                lateNs += seen.get(longestNs, TimeUnit.NANOSECONDS) - askedNs;
            } catch (TimeoutException | ExecutionException never) {
                return longestNs;
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        return lateNs;
    }
}
