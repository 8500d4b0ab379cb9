package peppergauge.fleet.service;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import peppergauge.log.Log;

/** A thread that runs one task repeatedly. Any thread can query whether it is stalled or has ended. */
final class PeriodicWorker {

    private static final long IDLE_NANOS = 10_000_000;
    private static final long JOIN_TIMEOUT_MS = 2_000;

    private final String name;
    private final BooleanSupplier step;
    private final Thread thread;
    /** Start time of the step that is running, 0 while idle. */
    private volatile long busySinceNanos;

    private volatile boolean closed;
    private volatile long failures;
    private volatile boolean ended;

    /**
     * Creates the thread.
     *
     * @param name of the task, part of the thread's name and of the status
     * @param step runs the task once; returns false if there was nothing to do, and is then called again after a pause
     */
    PeriodicWorker(String name, BooleanSupplier step) {
        this.name = name;
        this.step = step;
        thread = new Thread(this::run, "fleet-" + name);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    private void run() {
        while (!closed && !ended) {
            busySinceNanos = System.nanoTime() | 1;
            boolean worked = runStep();
            if (ended) {
                return;
            }
            busySinceNanos = 0;
            if (!worked) {
                LockSupport.parkNanos(IDLE_NANOS);
            }
        }
    }

    private boolean runStep() {
        try {
            return step.getAsBoolean();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError unexpected) {
            // A failed step must not prevent later steps.
            failures++;
            Log.error("fleet_worker_step_failed", unexpected);
        } catch (AssertionError broken) {
            // The worker ends, since its state is unreliable.
            Log.bug("invariant", broken);
            ended = true;
        } catch (Error fatal) {
            // The worker ends: for instance with a missing class later steps would fail as well.
            Log.error("fleet_worker_ended", fatal);
            ended = true;
        }
        return false;
    }

    String name() {
        return name;
    }

    /** Returns whether the thread ended after an error; the state that it owns is then unreliable. */
    boolean hasEnded() {
        return ended;
    }

    /**
     * Returns the state for the status page: {@code fine}, {@code stalled}, {@code ended} or the number of failures.
     *
     * @param stallTimeoutMs duration after which a step counts as stalled, ms
     */
    String describeState(long stallTimeoutMs) {
        long since = busySinceNanos;
        if (hasEnded()) {
            return "ended";
        }
        if (since != 0 && System.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(stallTimeoutMs)) {
            return "stalled";
        }
        return failures > 0 ? "failed " + failures + " times" : "fine";
    }

    /** Ends the thread after its running step; returns after a timeout even if the thread has not ended. */
    void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(JOIN_TIMEOUT_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
