package peppergauge.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

public class BackgroundWriterTest {

    private static final int MORE_LINES_THAN_ARE_QUEUED = 5_000;

    @Test(timeOut = 10_000)
    public void callersDoNotWaitForAStalledReaderAndDroppedLinesAreCounted() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CompletableFuture<Long> reported = new CompletableFuture<>();
        List<Integer> written = Collections.synchronizedList(new ArrayList<>());
        BackgroundWriter writer = new BackgroundWriter(reported::complete);
        for (int i = 0; i < MORE_LINES_THAN_ARE_QUEUED; i++) {
            int line = i;
            writer.submit(() -> {
                awaitQuietly(stalled);
                written.add(line);
            });
        }
        assertTrue(writer.dropped() > 0);
        stalled.countDown();
        long dropped = reported.get();
        assertEquals(written.size() + dropped, MORE_LINES_THAN_ARE_QUEUED);
        for (int i = 0; i < written.size(); i++) {
            assertEquals(written.get(i), i);
        }
    }

    @Test(timeOut = 10_000)
    public void flushWaitsForLinesButNotForAStalledReader() {
        CountDownLatch stalled = new CountDownLatch(1);
        List<String> written = Collections.synchronizedList(new ArrayList<>());
        BackgroundWriter writer = new BackgroundWriter(dropped -> {});
        writer.submit(() -> written.add("line"));
        writer.flush(5_000);
        assertEquals(written, List.of("line"));
        writer.submit(() -> awaitQuietly(stalled));
        writer.flush(50);
        stalled.countDown();
    }

    /** An error while a line was written ended the log for good. */
    @Test(timeOut = 10_000)
    public void writesLinesAfterAnErrorAndCountsTheLineAsDropped() throws Exception {
        CompletableFuture<Long> reported = new CompletableFuture<>();
        List<String> written = Collections.synchronizedList(new ArrayList<>());
        BackgroundWriter writer = new BackgroundWriter(reported::complete);
        writer.submit(() -> {
            throw new NoClassDefFoundError("thrown by a test");
        });
        while (!reported.isDone()) {
            writer.submit(() -> written.add("line"));
            writer.flush(50);
        }
        assertEquals(reported.get(), 1);
        assertTrue(written.contains("line"));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
