package peppergauge.fleet.service;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import peppergauge.log.Log;

/** One thread that does one thing again and again; others see when it does not come on. */
final class Duty {

    private static final long IDLE_NS = 10_000_000;
    private static final long ENDING_MS = 2_000;

    private final String name;
    private final BooleanSupplier step;
    private final Thread thread;
    private volatile long busySinceNs;
    private volatile boolean closed;
    private volatile long failures;
    private volatile boolean ended;

    /** @param step whether there was something to do; if not, it is called again after a short rest */
    Duty(String name, BooleanSupplier step) {
        this.name = name;
        this.step = step;
        thread = new Thread(this::run, "fleet-" + name);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    private void run() {
        while (!closed) {
            busySinceNs = System.nanoTime() | 1;
            boolean worked = false;
            try {
                worked = step.getAsBoolean();
            } catch (RuntimeException | StackOverflowError | OutOfMemoryError bug) {
                // One thing that cannot be done must not end all that come after it.
                failures++;
                Log.bug("fleet", bug);
            } catch (Error broken) {
                // An invariant, under -ea alone, or a class that is missing: all after it would only follow from it.
                Log.bug(broken instanceof AssertionError ? "invariant" : "fleet", broken);
                ended = true;
                return;
            }
            busySinceNs = 0;
            if (!worked) {
                LockSupport.parkNanos(IDLE_NS);
            }
        }
    }

    String name() {
        return name;
    }

    /** Whether it gave up, and what it holds is not to be believed. */
    boolean ended() {
        return ended;
    }

    /** For people: {@code fine}, or how it is not; {@code stalled} if its present step takes longer than that. */
    String state(long longestMs) {
        long since = busySinceNs;
        if (ended()) {
            return "ended";
        }
        return since != 0 && System.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(longestMs)
                ? "stalled"
                : failures > 0 ? "failed " + failures + " times" : "fine";
    }

    /** Ends after its present step, or is left behind. */
    void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(ENDING_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
