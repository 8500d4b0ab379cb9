package peppergauge.nomad.api;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import peppergauge.request.Scheduler;

/**
 * Single background thread for parsing large JSON, file I/O and host name resolution. It ends when idle and is started
 * again by the next task.
 */
public final class BackgroundThread implements BackgroundExecutor {

    /** Number of waiting tasks above which a task is rejected; its caller retries later. */
    private static final int MAX_QUEUED_TASKS = 1_000;

    private static final int IDLE_TIMEOUT_S = 10;

    private final Scheduler loop;
    private final ThreadPoolExecutor executor;

    public BackgroundThread(Scheduler loop) {
        this.loop = loop;
        executor = new ThreadPoolExecutor(
                1, 1, IDLE_TIMEOUT_S, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MAX_QUEUED_TASKS), runnable -> {
                    Thread worker = new Thread(runnable, "nomad");
                    worker.setDaemon(true);
                    return worker;
                });
        executor.allowCoreThreadTimeOut(true);
    }

    @Override
    public <T> void submit(Supplier<T> task, Consumer<T> onResult, Consumer<String> onError) {
        try {
            executor.execute(() -> {
                try {
                    T result = task.get();
                    loop.execute(() -> onResult.accept(result));
                } catch (RuntimeException | StackOverflowError | OutOfMemoryError failure) {
                    String error =
                            failure instanceof IllegalArgumentException ? failure.getMessage() : failure.toString();
                    loop.execute(() -> onError.accept(error));
                }
            });
        } catch (RejectedExecutionException queueFull) {
            loop.execute(() -> onError.accept("more than " + MAX_QUEUED_TASKS + " background tasks are waiting"));
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
