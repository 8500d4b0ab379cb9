package peppergauge.lab.process;

import java.io.Closeable;
import java.io.IOException;
import java.io.Writer;
import java.util.concurrent.locks.LockSupport;

/**
 * Limits a process group to a share of CPU time by stopping it for the rest of each period. This is stricter than a
 * kernel quota, since it takes the time away whether or not the group had work. A shell sends the signals: Java has no
 * call for it, and a process for each signal would cost more than what is measured.
 */
final class CpuThrottle implements Closeable {

    private static final long PERIOD_NS = 20_000_000;

    private final Process shell = new ProcessBuilder("/bin/sh")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    private final Writer signals = shell.outputWriter();
    private final Thread thread;
    private final long group;
    private volatile boolean closed;
    private volatile boolean paused;

    CpuThrottle(long group, double share) throws IOException {
        this.group = group;
        long runNs = (long) (PERIOD_NS * share);
        thread = new Thread(
                () -> {
                    long periodNs = System.nanoTime();
                    while (!closed) {
                        signal(paused ? "STOP" : "CONT");
                        sleepUntil(periodNs + runNs);
                        signal("STOP");
                        periodNs += PERIOD_NS;
                        sleepUntil(periodNs);
                    }
                    signal("CONT");
                },
                "throttle");
        thread.setDaemon(true);
        thread.start();
    }

    /** Stops the group for all of each period, or ends that. */
    void setPaused(boolean pause) {
        paused = pause;
    }

    /**
     * Sends a signal to the group. It fails without consequences in the first ms, before the process has created its
     * group, and after the end of the group.
     */
    private void signal(String name) {
        try {
            signals.write("kill -s " + name + " -- -" + group + "\n");
            signals.flush();
        } catch (IOException ended) {
            closed = true;
        }
    }

    private static void sleepUntil(long atNs) {
        for (long waitNs = atNs - System.nanoTime(); waitNs > 0; waitNs = atNs - System.nanoTime()) {
            LockSupport.parkNanos(waitNs);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        try {
            thread.join(1_000);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        signals.close();
    }
}
