package peppergauge.plugin.executor;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;

/**
 * Stops calls that exceed their budget, with one thread for all plug-ins: it interrupts the thread of such a call each
 * millisecond until the call has ended, since the WebAssembly runtime checks for interrupts at each loop iteration and
 * each function call. It sleeps until the earliest end of a budget, so that a call needs no timer of its own.
 * Thread-safe.
 */
public final class Watchdog implements AutoCloseable {

    private static final long INTERRUPT_INTERVAL_NS = 1_000_000;

    private final List<CallMonitor> monitors = new CopyOnWriteArrayList<>();
    private final Thread thread;
    private volatile long wakeUpAtNs = Long.MAX_VALUE;
    private volatile boolean isClosed;

    public Watchdog() {
        thread = new Thread(this::run, "plugin-guard");
        thread.setDaemon(true);
        thread.start();
    }

    /** Creates the monitor for the calls of the current thread. */
    CallMonitor monitorCurrentThread() {
        CallMonitor monitor = new CallMonitor(Thread.currentThread());
        monitors.add(monitor);
        return monitor;
    }

    void remove(CallMonitor monitor) {
        monitors.remove(monitor);
        LockSupport.unpark(thread);
    }

    /** Ends the watchdog thread once the last monitor is removed. */
    @Override
    public void close() {
        isClosed = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        while (!isClosed || !monitors.isEmpty()) {
            // While this is MAX_VALUE each thread that starts a call unparks this one, so no call is missed between the
            // check and the sleep.
            wakeUpAtNs = Long.MAX_VALUE;
            long next = Long.MAX_VALUE;
            for (CallMonitor monitor : monitors) {
                next = Math.min(next, monitor.check(System.nanoTime()));
            }
            wakeUpAtNs = next;
            if (next == Long.MAX_VALUE) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, Math.max(1, next - System.nanoTime()));
            }
        }
    }

    /** Monitors the calls of one thread, which run one after another. */
    final class CallMonitor {

        private final Thread monitored;
        private boolean isRunning;
        private boolean wasStopped;
        private long budgetEndNs;

        private CallMonitor(Thread monitored) {
            this.monitored = monitored;
        }

        void callStarted(long budgetNs) {
            long end;
            synchronized (this) {
                isRunning = true;
                wasStopped = false;
                budgetEndNs = System.nanoTime() + budgetNs;
                end = budgetEndNs;
            }
            if (end < wakeUpAtNs) {
                LockSupport.unpark(thread);
            }
        }

        /** Clears the interrupt of the current thread and returns whether the call was stopped. */
        synchronized boolean callEnded() {
            isRunning = false;
            Thread.interrupted();
            return wasStopped;
        }

        /** Interrupts a call that is over its budget; returns when the next check is due, MAX_VALUE for none. */
        private synchronized long check(long nowNs) {
            if (!isRunning) {
                return Long.MAX_VALUE;
            }
            if (nowNs < budgetEndNs) {
                return budgetEndNs;
            }
            wasStopped = true;
            monitored.interrupt();
            return nowNs + INTERRUPT_INTERVAL_NS;
        }
    }
}
