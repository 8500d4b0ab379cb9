package peppergauge.plugin.crew;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;

/**
 * One thread that ends calls which run over their time: it interrupts their threads, again each millisecond until they
 * have ended, for the runtime looks for that at each loop's turn and each call. It sleeps while nothing is running
 * late, so that a call costs no timer of its own.
 */
public final class Guard implements AutoCloseable {

    private static final long AGAIN_NS = 1_000_000;

    private final List<Watch> watches = new CopyOnWriteArrayList<>();
    private final Thread thread;
    private volatile long wakesAtNs = Long.MAX_VALUE;
    private volatile boolean closed;

    public Guard() {
        thread = new Thread(this::run, "plugin-guard");
        thread.setDaemon(true);
        thread.start();
    }

    /** For the calls of one thread, the caller's. */
    Watch watch() {
        Watch watch = new Watch(Thread.currentThread());
        watches.add(watch);
        return watch;
    }

    void forget(Watch watch) {
        watches.remove(watch);
        LockSupport.unpark(thread);
    }

    /** Its thread ends with the last of those that it watches. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        while (!closed || !watches.isEmpty()) {
            // While this says MAX whoever begins a call wakes this thread up: none is missed between look and sleep.
            wakesAtNs = Long.MAX_VALUE;
            long next = Long.MAX_VALUE;
            for (Watch watch : watches) {
                next = Math.min(next, watch.look(System.nanoTime()));
            }
            wakesAtNs = next;
            if (next == Long.MAX_VALUE) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, Math.max(1, next - System.nanoTime()));
            }
        }
    }

    /** The calls of one thread, one after another. */
    final class Watch {

        private final Thread watched;
        private boolean running;
        private boolean stopped;
        private long untilNs;

        private Watch(Thread watched) {
            this.watched = watched;
        }

        void begin(long longestNs) {
            long until;
            synchronized (this) {
                running = true;
                stopped = false;
                untilNs = System.nanoTime() + longestNs;
                until = untilNs;
            }
            if (until < wakesAtNs) {
                LockSupport.unpark(thread);
            }
        }

        /** Whether the call was told to end; no interrupt is left over for what comes next. */
        synchronized boolean end() {
            running = false;
            Thread.interrupted();
            return stopped;
        }

        private synchronized long look(long nowNs) {
            if (!running) {
                return Long.MAX_VALUE;
            }
            if (nowNs < untilNs) {
                return untilNs;
            }
            stopped = true;
            watched.interrupt();
            return nowNs + AGAIN_NS;
        }
    }
}
