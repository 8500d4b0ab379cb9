package peppergauge.nomad.wire;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Does beside the loop what would hold all sessions up there. */
public interface Work extends AutoCloseable {

    /**
     * Does the work; one of the others is then called on the loop, in the order in which work was given.
     *
     * @param work an {@link IllegalArgumentException} of it says why there is no result
     */
    <T> void run(Supplier<T> work, Consumer<T> done, Consumer<String> failed);

    @Override
    void close();
}
