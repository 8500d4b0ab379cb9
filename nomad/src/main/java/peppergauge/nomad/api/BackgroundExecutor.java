package peppergauge.nomad.api;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Runs tasks that would block the event loop, and hands their results back to it. */
public interface BackgroundExecutor extends AutoCloseable {

    /**
     * Runs a task. Its result, or its error, is passed on the event loop's thread, in the order of submission.
     *
     * @param task may throw an {@link IllegalArgumentException}, whose message is the error
     */
    <T> void submit(Supplier<T> task, Consumer<T> done, Consumer<String> failed);

    /** Stops; results that are not there yet are dropped. */
    @Override
    void close();
}
