package peppergauge.fleet.service;

import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/** Bounded queue from many writing threads to one reading thread. Counts rejected messages. */
final class BoundedInbox<T> {

    private final MpscArrayQueue<T> queue;
    private final LongAdder rejected = new LongAdder();

    BoundedInbox(int capacity) {
        queue = new MpscArrayQueue<>(capacity);
    }

    /** Returns false if the queue is full. Any thread. */
    boolean offer(T message) {
        boolean accepted = queue.offer(message);
        if (!accepted) {
            rejected.increment();
        }
        return accepted;
    }

    /** Handles up to {@code limit} messages on the reading thread; returns whether there was any. */
    boolean drain(Consumer<T> handler, int limit) {
        return queue.drain(handler::accept, limit) > 0;
    }

    long rejected() {
        return rejected.sum();
    }
}
