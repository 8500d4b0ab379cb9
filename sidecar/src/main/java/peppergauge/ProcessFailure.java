package peppergauge;

import java.util.concurrent.ThreadFactory;
import peppergauge.log.Log;

/**
 * Ends the process when a thread has failed without which it would live on and serve nobody; whoever runs it sees that
 * it failed. If the event loop can still run, requests under way get their responses first, as after SIGTERM; otherwise
 * clients see their connections end at once.
 */
public final class ProcessFailure {

    private static final int EXIT_CODE = 1;
    private static final String EVENT_LOOP = "loop";

    private ProcessFailure() {}

    /**
     * Ends the process with exit code 1 as soon as any thread ends by an error of the Java machine, such as a lack of
     * memory. Other exceptions that end a thread are logged.
     */
    public static void endProcessOnUncaughtErrors() {
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            if (thrown instanceof VirtualMachineError) {
                endProcess(thread.getName(), thrown, null);
            } else {
                Log.error("thread_ended", thrown);
            }
        });
    }

    /**
     * Ends the process with exit code 1, even if there is no memory for the log line.
     *
     * @param thread the name of the thread that has failed
     * @param thrown why; null if it ended without an exception that reached it
     * @param shutdown completes the requests under way; null if there are none
     */
    static void endProcess(String thread, Throwable thrown, Runnable shutdown) {
        endProcess(thread, thrown, shutdown, task -> new Thread(task, "failure-shutdown"));
    }

    /** As above; {@code threads} creates the thread on which {@code shutdown} runs. */
    static void endProcess(String thread, Throwable thrown, Runnable shutdown, ThreadFactory threads) {
        boolean isCompleting = false;
        try {
            logFailure(thread, thrown);
            if (shutdown != null && !EVENT_LOOP.equals(thread) && !(thrown instanceof VirtualMachineError)) {
                startShutdown(shutdown, threads);
                isCompleting = true;
            }
        } finally {
            // Also if the thread cannot be started: nobody else would end the process.
            if (!isCompleting) {
                Runtime.getRuntime().halt(EXIT_CODE);
            }
        }
    }

    private static void logFailure(String thread, Throwable thrown) {
        if (EVENT_LOOP.equals(thread) && thrown != null) {
            Log.error("event_loop_failed", thrown);
        } else {
            Log.event("thread_failed", "thread", thread, "exception", thrown);
        }
        Log.flush();
    }

    private static void startShutdown(Runnable shutdown, ThreadFactory threads) {
        Thread thread = threads.newThread(() -> shutDownAndHalt(shutdown));
        // The failed thread's daemon status is inherited, and the process must not end before halt sets its exit code.
        thread.setDaemon(false);
        thread.start();
    }

    private static void shutDownAndHalt(Runnable shutdown) {
        try {
            shutdown.run();
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
