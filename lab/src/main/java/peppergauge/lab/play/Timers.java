package peppergauge.lab.play;

/** A clock in ms from the start of the run, and tasks at a later time on the thread that owns all that is played. */
interface Timers {

    double nowMs();

    void after(double ms, Runnable task);
}
