package peppergauge.fleet.service;

import java.util.concurrent.atomic.LongAdder;
import org.jctools.queues.SpscArrayQueue;

/**
 * Bounded, from one thread to one, of accounts that replace each other: where the reader does not come on, the newest
 * is held here and the ones between are let go, which is counted.
 */
final class Latest<T> {

    private static final int PLACES = 4;

    private final SpscArrayQueue<T> queue = new SpscArrayQueue<>(PLACES);
    private final LongAdder letGo = new LongAdder();
    private T held;

    /** Writer. */
    void hand(T newest) {
        if (held != null) {
            letGo.increment();
        }
        held = newest;
        retry();
    }

    /** Writer: to be called now and then. */
    void retry() {
        if (held != null && queue.offer(held)) {
            held = null;
        }
    }

    /** Reader: the newest, null for none. */
    T take() {
        T newest = null;
        for (T next = queue.poll(); next != null; next = queue.poll()) {
            newest = next;
        }
        return newest;
    }

    long letGo() {
        return letGo.sum();
    }
}
