package peppergauge.request;

/**
 * Runs tasks one at a time, in one order: on the event-loop thread that also owns the sockets, or in virtual time. A
 * task never runs within another. An exception of a task affects neither the thread nor other tasks.
 */
public interface Scheduler {

    /** A task scheduled to run later. */
    interface ScheduledTask {

        /** Cancels the task, also if it is due. Does nothing once the task has run. Event-loop thread only. */
        void cancel();
    }

    /** Runs a task after those that were submitted before. From any thread. */
    void execute(Runnable task);

    /**
     * Runs a task after a delay. From any thread.
     *
     * @param delayMs 0 or less runs it as soon as possible
     */
    ScheduledTask schedule(double delayMs, Runnable task);
}
