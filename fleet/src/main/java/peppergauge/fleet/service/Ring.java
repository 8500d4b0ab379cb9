package peppergauge.fleet.service;

import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/** Bounded, from any threads to one. What is refused is counted; its sender decides what follows. */
final class Ring<T> {

    private final MpscArrayQueue<T> queue;
    private final LongAdder refused = new LongAdder();

    Ring(int places) {
        queue = new MpscArrayQueue<>(places);
    }

    boolean offer(T item) {
        boolean taken = queue.offer(item);
        if (!taken) {
            refused.increment();
        }
        return taken;
    }

    /** @return whether there was any */
    boolean drain(Consumer<T> each, int most) {
        return queue.drain(each::accept, most) > 0;
    }

    long refused() {
        return refused.sum();
    }
}
