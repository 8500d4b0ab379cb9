package peppergauge.sockets;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the number of open sockets of one kind. A closed socket holds its descriptor until the selector's next select,
 * and is counted until then.
 */
public class SocketLimit {

    private final EventLoop loop;
    private final Semaphore free;
    private final int limit;
    private final AtomicInteger closedThisRound = new AtomicInteger();
    /** Number of sockets closed in the previous round; only the event loop's thread uses it. */
    private int closedBefore;
    /** Tasks that wait for a socket, in order; only the event loop's thread uses it. */
    private final Queue<Runnable> waiting = new ArrayDeque<>();

    /** Creates a limit with no sockets in use. */
    public SocketLimit(int limit, EventLoop loop) {
        this.loop = loop;
        this.limit = limit;
        free = new Semaphore(limit);
        loop.runEachRound(this::onRoundEnded);
    }

    /** Acquires a socket if one is available; may be called from any thread. */
    public boolean tryAcquire() {
        return free.tryAcquire();
    }

    /**
     * Acquires a socket if one becomes available within {@code timeoutMs}; may be called from any thread but the event
     * loop's.
     */
    public boolean tryAcquire(long timeoutMs) throws InterruptedException {
        return free.tryAcquire(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Acquires a socket and runs the task: immediately, or in a later round if all available sockets have only just
     * been closed. Only for callers whose own limit guarantees a socket; called on the event loop's thread.
     */
    public void acquireThenRun(Runnable task) {
        if (waiting.isEmpty() && free.tryAcquire()) {
            task.run();
        } else {
            waiting.add(task);
            loop.wakeUp();
        }
    }

    /** Called on the event loop's thread when an acquired socket was closed. */
    public void onSocketClosed() {
        closedThisRound.incrementAndGet();
        assert isConsistent() : "a socket was closed twice, or not acquired: " + closedThisRound + " of " + limit;
    }

    /** Number of sockets that are available, or will be once their descriptors are released. Event loop only. */
    int freeOrClosed() {
        return free.availablePermits() + closedThisRound.get() + closedBefore;
    }

    /** Whether no more sockets are released than were acquired; other threads may only acquire meanwhile. */
    private boolean isConsistent() {
        return closedThisRound.get() + closedBefore + free.availablePermits() <= limit;
    }

    private void onRoundEnded() {
        if (closedBefore > 0) {
            free.release(closedBefore);
        }
        closedBefore = closedThisRound.getAndSet(0);
        assert isConsistent() : "more sockets are free than the limit: " + free.availablePermits() + " of " + limit;
        while (!waiting.isEmpty() && free.tryAcquire()) {
            waiting.remove().run();
        }
        if (closedBefore > 0 && (free.hasQueuedThreads() || !waiting.isEmpty())) {
            loop.wakeUp();
        }
    }
}
