package peppergauge.lab.play;

/** The time since the start of the run, in ms, and timers whose tasks run on the loop's thread. */
interface Timers {

    double nowMs();

    void after(double ms, Runnable task);
}
