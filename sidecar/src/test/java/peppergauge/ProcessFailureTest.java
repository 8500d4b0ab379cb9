package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A process that ends by a failed thread must not look as if it had been stopped. */
public class ProcessFailureTest {

    private static final int EXIT_FAILED = 1;
    private static final long SHUTDOWN_MS = 300;
    private static final long TIMEOUT_S = 20;

    /** A program whose event loop, here the main thread, ends before the shutdown after a failure has returned. */
    static final class EndedLoopProgram {

        private EndedLoopProgram() {}

        public static void main(String[] args) throws InterruptedException {
            Thread listener =
                    new Thread(() -> ProcessFailure.endProcess("listener", null, () -> sleep(SHUTDOWN_MS)), "listener");
            listener.setDaemon(true);
            listener.start();
            listener.join();
        }
    }

    /** A program that cannot start a thread for the shutdown after its timers have failed. */
    static final class NoThreadLeftProgram {

        private NoThreadLeftProgram() {}

        public static void main(String[] args) {
            ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
            timers.schedule(
                    () -> ProcessFailure.endProcess(
                            "timers", new NoClassDefFoundError("thrown by a test"), () -> {}, task -> {
                                throw new OutOfMemoryError("unable to create native thread, thrown by a test");
                            }),
                    0,
                    TimeUnit.MILLISECONDS);
        }
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** The process ended with exit code 0 if the event loop's thread was faster than the one that waited for it. */
    @Test
    public void processEndsWithExitCodeOneIfTheEventLoopEndsBeforeTheShutdownDoes() throws Exception {
        assertEquals(exitCode(EndedLoopProgram.class), EXIT_FAILED);
    }

    /** The second error stayed in the timers' pool, and the process lived on without timers. */
    @Test
    public void processEndsWithExitCodeOneIfNoThreadCanBeStartedForTheShutdown() throws Exception {
        assertEquals(exitCode(NoThreadLeftProgram.class), EXIT_FAILED);
    }

    private static int exitCode(Class<?> program) throws Exception {
        Process process = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        program.getName())
                .inheritIO()
                .start();
        try {
            assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process goes on");
            return process.exitValue();
        } finally {
            process.destroyForcibly();
        }
    }
}
