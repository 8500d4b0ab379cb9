package peppergauge.nomad.api;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import peppergauge.request.Scheduler;

/** One background thread, for large JSON, files and host names. It ends while it is idle. */
public final class BackgroundThread implements BackgroundExecutor {

    /** Further tasks are rejected; their callers try again later. */
    private static final int MAX_QUEUED_TASKS = 1_000;

    private static final int IDLE_S = 10;

    private final Scheduler loop;
    private final ThreadPoolExecutor thread;

    public BackgroundThread(Scheduler loop) {
        this.loop = loop;
        thread = new ThreadPoolExecutor(
                1, 1, IDLE_S, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MAX_QUEUED_TASKS), runnable -> {
                    Thread worker = new Thread(runnable, "nomad");
                    worker.setDaemon(true);
                    return worker;
                });
        thread.allowCoreThreadTimeOut(true);
    }

    @Override
    public <T> void submit(Supplier<T> task, Consumer<T> done, Consumer<String> failed) {
        try {
            thread.execute(() -> {
                try {
                    T result = task.get();
                    loop.execute(() -> done.accept(result));
                } catch (RuntimeException | StackOverflowError | OutOfMemoryError unusable) {
                    String why =
                            unusable instanceof IllegalArgumentException ? unusable.getMessage() : unusable.toString();
                    loop.execute(() -> failed.accept(why));
                }
            });
        } catch (RejectedExecutionException full) {
            loop.execute(() -> failed.accept("too many background tasks"));
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
