package peppergauge.fleet.service;

import java.util.concurrent.atomic.LongAdder;
import org.jctools.queues.SpscArrayQueue;

/**
 * Bounded queue from one writing thread to one reading thread, of values that supersede each other: if the reader is
 * slow, the newest value is retained and older ones are dropped and counted.
 */
final class LatestValueQueue<T> {

    private static final int CAPACITY = 4;

    private final SpscArrayQueue<T> queue = new SpscArrayQueue<>(CAPACITY);
    private final LongAdder dropped = new LongAdder();
    /** Newest value that the queue had no capacity for; only for the writing thread. */
    private T pending;

    /** Puts a value. Writing thread. */
    void put(T newest) {
        if (pending != null) {
            dropped.increment();
        }
        pending = newest;
        flush();
    }

    /** Retries a value that the queue had no capacity for. Writing thread, to be called regularly. */
    void flush() {
        if (pending != null && queue.offer(pending)) {
            pending = null;
        }
    }

    /** Returns the newest value, null for none. Reading thread. */
    T poll() {
        T newest = null;
        for (T next = queue.poll(); next != null; next = queue.poll()) {
            newest = next;
        }
        return newest;
    }

    long dropped() {
        return dropped.sum();
    }
}
