package peppergauge.log;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

/**
 * Writes log lines on a thread of its own, so that nobody waits for a reader that has stalled or a slow disk. Lines
 * beyond a bound are dropped and counted. Thread-safe.
 */
final class BackgroundWriter {

    private static final int MAX_QUEUED_LINES = 1_024;

    private final BlockingQueue<Runnable> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final LongConsumer onDropped;
    private Thread thread;

    /** @param onDropped receives how many lines were dropped, once lines are written again; on the writing thread */
    BackgroundWriter(LongConsumer onDropped) {
        this.onDropped = onDropped;
    }

    /** Writes a line soon, or drops it if too many wait. */
    void submit(Runnable line) {
        if (!queue.offer(line)) {
            dropped.incrementAndGet();
        }
        startIfNeeded();
    }

    private synchronized void startIfNeeded() {
        if (thread != null) {
            return;
        }
        Thread created = new Thread(this::run, "log");
        created.setDaemon(true);
        try {
            created.start();
            thread = created;
        } catch (OutOfMemoryError noThread) {
            // The system has no thread left; the line stays queued, and the next one tries again.
            thread = null;
        }
    }

    private void run() {
        try {
            while (true) {
                writeNext();
            }
        } finally {
            // An error, such as a class that cannot be loaded for lack of descriptors, must not end the log for good.
            dropped.incrementAndGet();
            forgetThread();
            if (!queue.isEmpty()) {
                startIfNeeded();
            }
        }
    }

    private void writeNext() {
        try {
            queue.take().run();
            long count = queue.isEmpty() ? dropped.getAndSet(0) : 0;
            if (count > 0) {
                onDropped.accept(count);
            }
        } catch (InterruptedException ignored) {
            // Nobody interrupts this thread on purpose; it lives as long as the process.
        } catch (RuntimeException failed) {
            dropped.incrementAndGet();
        }
    }

    private synchronized void forgetThread() {
        thread = null;
    }

    /** Waits until the lines submitted before are written, at most this long. */
    void flush(long maxMs) {
        CountDownLatch written = new CountDownLatch(1);
        if (!queue.offer(written::countDown)) {
            return;
        }
        startIfNeeded();
        try {
            written.await(maxMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Number of lines dropped since the last report. */
    long dropped() {
        return dropped.get();
    }
}
