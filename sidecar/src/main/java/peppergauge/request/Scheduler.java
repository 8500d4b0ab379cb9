package peppergauge.request;

/**
 * The one thread, or the one order of events, that owns the module and the sessions. Whoever hands a task in gets it
 * run there: in service on the loop that also owns the sockets, elsewhere on a virtual clock. Tasks run one at a time;
 * a task never runs inside another, and what one throws ends neither the thread nor the next task.
 */
public interface Scheduler {

    /** A wait that has not ended yet. */
    interface ScheduledTask {

        /** Takes it back; its task does not run after this, also where it was due already. Once over, does nothing. */
        void cancel();
    }

    /** Runs a task as soon as those handed in before it are done. From any thread. */
    void execute(Runnable task);

    /**
     * Runs a task after a wait, from any thread.
     *
     * @param ms how long, in milliseconds; 0 or less means as soon as possible
     */
    ScheduledTask schedule(double ms, Runnable task);
}
