package peppergauge.lab.play;

/** The time since the start of the run, in ms, and timers whose tasks run on the loop's thread. */
interface Timers {

    /** Returns the time since the start of the run. */
    double nowMs();

    /** Runs a task after a time. */
    void after(double ms, Runnable task);
}
