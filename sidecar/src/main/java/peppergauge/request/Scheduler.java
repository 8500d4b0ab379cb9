package peppergauge.request;

/**
 * Runs tasks one at a time, in one order: on the event-loop thread that also owns the sockets, or in virtual time. A
 * task never runs within another. What one throws ends neither the thread nor the next task.
 */
public interface Scheduler {

    /** A task that is scheduled and has not run yet. */
    interface ScheduledTask {

        /** Cancels it, also if it is due already. Does nothing once it has run. Event-loop thread only. */
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
