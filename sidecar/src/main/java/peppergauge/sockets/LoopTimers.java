package peppergauge.sockets;

import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import peppergauge.request.Scheduler.ScheduledTask;

/**
 * Submits tasks to an executor after a delay; one thread waits for all of them. Any thread may schedule, cancel and
 * close.
 */
final class LoopTimers {

    private final Executor executor;
    private final Consumer<Error> failureHandler;
    private final ScheduledThreadPoolExecutor timers;

    /** @param failureHandler receives errors on the timers' thread, which loses the timer that was due */
    LoopTimers(Executor executor, ThreadFactory threads, Consumer<Error> failureHandler) {
        this.executor = executor;
        this.failureHandler = failureHandler;
        timers = new ScheduledThreadPoolExecutor(1, threads);
        timers.setRemoveOnCancelPolicy(true);
        timers.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Submits the task after {@code delayMs}, unless it is cancelled before; does nothing after {@link #close}. */
    ScheduledTask schedule(double delayMs, Runnable task) {
        Timer timer = new Timer(task);
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

    private final class Timer implements ScheduledTask, Runnable {

        private final Runnable task;
        private volatile Future<?> future;
        private volatile boolean cancelled;

        Timer(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            try {
                executor.execute(() -> {
                    if (!cancelled) {
                        task.run();
                    }
                });
            } catch (Error fatal) {
                failureHandler.accept(fatal);
                throw fatal;
            }
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
