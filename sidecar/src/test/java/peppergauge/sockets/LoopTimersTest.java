package peppergauge.sockets;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import peppergauge.request.Scheduler.ScheduledTask;

public class LoopTimersTest {

    private static final long TIMEOUT_S = 10;

    private final BlockingQueue<Runnable> submitted = new LinkedBlockingQueue<>();
    private final BlockingQueue<Error> failures = new LinkedBlockingQueue<>();
    private final LoopTimers timers = new LoopTimers(submitted::add, Thread::new, failures::add);
    private boolean ran;

    @AfterMethod
    public void reset() {
        ran = false;
        submitted.clear();
    }

    @Test
    public void submitsATaskWhenItIsDue() throws InterruptedException {
        timers.schedule(1, () -> ran = true);
        submitted.poll(TIMEOUT_S, TimeUnit.SECONDS).run();
        assertTrue(ran);
    }

    @Test
    public void doesNotRunATaskThatIsCancelledAfterItsSubmission() throws InterruptedException {
        ScheduledTask task = timers.schedule(0, () -> ran = true);
        Runnable due = submitted.poll(TIMEOUT_S, TimeUnit.SECONDS);
        task.cancel();
        due.run();
        assertFalse(ran);
    }

    @Test
    public void runsNoTaskAfterClose() throws InterruptedException {
        LoopTimers closed = new LoopTimers(submitted::add, Thread::new, failures::add);
        closed.schedule(50, () -> ran = true);
        closed.close();
        closed.schedule(0, () -> ran = true).cancel();
        assertTrue(submitted.poll(200, TimeUnit.MILLISECONDS) == null);
    }

    /** The pool of the timers kept the error to itself, and the timer was lost unseen. */
    @Test
    public void reportsAnErrorInSubmittingATask() throws InterruptedException {
        OutOfMemoryError noMemory = new OutOfMemoryError("thrown by a test");
        LoopTimers failing = new LoopTimers(
                task -> {
                    throw noMemory;
                },
                Thread::new,
                failures::add);
        failing.schedule(0, () -> ran = true);
        assertSame(failures.poll(TIMEOUT_S, TimeUnit.SECONDS), noMemory);
        failing.close();
    }
}
