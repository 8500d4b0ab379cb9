package peppergauge.request;

import peppergauge.log.Log;

/**
 * Keeps an unexpected exception of one task from affecting the next. Runtime exceptions and stack overflows are logged
 * and swallowed; other errors, failed assertions among them, propagate to the event loop.
 */
final class ErrorContainment {

    private ErrorContainment() {}

    /** Runs a task; an exception is logged as {@code request_task_failed}. */
    static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError unexpected) {
            Log.error("request_task_failed", unexpected);
        }
    }
}
