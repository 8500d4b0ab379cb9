package peppergauge.nomad.wire;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import peppergauge.request.Scheduler;

/**
 * One thread beside the loop, for what would hold all sessions up there: large JSON, files, names. Results are handed
 * back to the loop in the order in which work was given. The thread ends when there is nothing to do.
 */
public final class WorkThread implements Work {

    /** Behind this many pieces Nomad tells more than is read; what is refused is asked for again later. */
    private static final int MOST_WAITING = 1_000;

    private static final int IDLE_S = 10;

    private final Scheduler loop;
    private final ThreadPoolExecutor thread;

    public WorkThread(Scheduler loop) {
        this.loop = loop;
        thread = new ThreadPoolExecutor(
                1, 1, IDLE_S, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MOST_WAITING), task -> {
                    Thread worker = new Thread(task, "nomad");
                    worker.setDaemon(true);
                    return worker;
                });
        thread.allowCoreThreadTimeOut(true);
    }

    @Override
    public <T> void run(Supplier<T> work, Consumer<T> done, Consumer<String> failed) {
        try {
            thread.execute(() -> {
                try {
                    T result = work.get();
                    loop.execute(() -> done.accept(result));
                } catch (RuntimeException | StackOverflowError | OutOfMemoryError unusable) {
                    String why =
                            unusable instanceof IllegalArgumentException ? unusable.getMessage() : unusable.toString();
                    loop.execute(() -> failed.accept(why));
                }
            });
        } catch (RejectedExecutionException full) {
            loop.execute(() -> failed.accept("more comes in than is read"));
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
