package peppergauge.sockets;

import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import peppergauge.request.Scheduler.ScheduledTask;

/**
 * Submits tasks to an executor after a delay; one thread waits for all of them. Any thread may schedule, cancel and
 * close.
 */
final class LoopTimers {

    private final Executor executor;
    private final ScheduledThreadPoolExecutor timers;

    LoopTimers(Executor executor, ThreadFactory threads) {
        this.executor = executor;
        timers = new ScheduledThreadPoolExecutor(1, threads);
        timers.setRemoveOnCancelPolicy(true);
        timers.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Submits the task after {@code delayMs}, unless it is cancelled before; does nothing after {@link #close}. */
    ScheduledTask schedule(double delayMs, Runnable task) {
        Timer timer = new Timer(executor, task);
        try {
            timer.future = timers.schedule(timer, Math.max(0, (long) (delayMs * 1000)), TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException closed) {
            timer.cancelled = true;
        }
        return timer;
    }

    /** Ends the thread; pending tasks never run. */
    void close() {
        timers.shutdownNow();
    }

    private static final class Timer implements ScheduledTask, Runnable {

        private final Executor executor;
        private final Runnable task;
        private volatile Future<?> future;
        private volatile boolean cancelled;

        Timer(Executor executor, Runnable task) {
            this.executor = executor;
            this.task = task;
        }

        @Override
        public void run() {
            executor.execute(() -> {
                if (!cancelled) {
                    task.run();
                }
            });
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (future != null) {
                future.cancel(false);
            }
        }
    }
}
