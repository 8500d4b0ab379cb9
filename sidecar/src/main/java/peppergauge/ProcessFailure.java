package peppergauge;

import peppergauge.log.Log;

/**
 * Ends the process when a thread has failed without which it would live on and serve nobody. There is no graceful
 * shutdown: clients see their connections end at once, and whoever runs the process sees that it failed.
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
                endProcess(thread.getName(), thrown);
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
     */
    static void endProcess(String thread, Throwable thrown) {
        try {
            if (EVENT_LOOP.equals(thread) && thrown != null) {
                Log.error("event_loop_failed", thrown);
            } else {
                Log.event("thread_failed", "thread", thread, "exception", thrown);
            }
            Log.flush();
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
