package peppergauge.lab.wire;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Base of tests that run steps on an event loop, with a new loop for each test. */
public abstract class EventLoopTestBase {

    protected Loop loop;

    @BeforeMethod
    public void startLoop() throws IOException {
        loop = Loop.sleeping("test");
        loop.start();
    }

    @AfterMethod(alwaysRun = true)
    public void endLoop() throws IOException {
        loop.close();
    }

    /** Runs a step on the loop's thread and returns its result. */
    protected final <T> T callOnLoop(Callable<T> step) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.post(() -> {
            try {
                done.complete(step.call());
            } catch (Exception failed) {
                done.completeExceptionally(failed);
            }
        });
        return done.join();
    }

    /** Runs a step on the loop's thread. */
    protected final void runOnLoop(Runnable step) {
        callOnLoop(Executors.callable(step));
    }
}
