package peppergauge.nomad.api;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Runs tasks that would block the event loop, and passes their results to the event loop. */
public interface BackgroundExecutor extends AutoCloseable {

    /**
     * Runs a task. One of the callbacks is called on the event loop's thread, in the order of submission.
     *
     * @param task may throw an {@link IllegalArgumentException}, whose message is the error
     * @param onResult receives the result
     * @param onError receives the error if the task failed
     */
    <T> void submit(Supplier<T> task, Consumer<T> onResult, Consumer<String> onError);

    /** Stops the tasks; unfinished ones have no result. */
    @Override
    void close();
}
