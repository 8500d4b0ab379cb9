package peppergauge.sockets;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * How many sockets of one kind may be open. A closed socket keeps its descriptor until the loop's next select, so a
 * place is free only then: in a burst hundreds may be closed at once, and their places given away before would be
 * descriptors too many.
 */
public class SocketLimit {

    private final EventLoop loop;
    private final Semaphore free;
    private final int most;
    private final AtomicInteger closedThisRound = new AtomicInteger();
    /** Closed in an earlier round; only the loop's thread touches it. */
    private int closedBefore;
    /** What is done with the next places, in this order; only the loop's thread touches it. */
    private final Queue<Runnable> waiting = new ArrayDeque<>();

    public SocketLimit(int most, EventLoop loop) {
        this.loop = loop;
        this.most = most;
        free = new Semaphore(most);
        loop.runEachRound(this::roundEnded);
    }

    public boolean tryAcquire() {
        return free.tryAcquire();
    }

    public boolean tryAcquire(long waitMs) throws InterruptedException {
        return free.tryAcquire(waitMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes a place and runs the task: at once, or in a later round if all that are free are those of sockets that
     * were closed lately. Only for whom such a place is sure to come; on the loop's thread.
     */
    public void acquireThenRun(Runnable taken) {
        if (waiting.isEmpty() && free.tryAcquire()) {
            taken.run();
        } else {
            waiting.add(taken);
            loop.wakeUp();
        }
    }

    /** One of the sockets was closed just now; to be called on the loop's thread. */
    public void onSocketClosed() {
        closedThisRound.incrementAndGet();
        assert isConsistent() : "a socket was closed twice, or had no place: " + closedThisRound + " of " + most;
    }

    /** No place is given back that nobody had: each would be a descriptor too many, for good. */
    private boolean isConsistent() {
        // Other threads only take places meanwhile.
        return closedThisRound.get() + closedBefore + free.availablePermits() <= most;
    }

    void roundEnded() {
        if (closedBefore > 0) {
            free.release(closedBefore);
        }
        closedBefore = closedThisRound.getAndSet(0);
        assert isConsistent() : "more places than there are: " + free.availablePermits() + " of " + most;
        while (!waiting.isEmpty() && free.tryAcquire()) {
            waiting.remove().run();
        }
        if (closedBefore > 0 && (free.hasQueuedThreads() || !waiting.isEmpty())) {
            loop.wakeUp();
        }
    }
}
