package peppergauge.sockets;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.reactor.IOReactorMetricsListener;

/**
 * How many sockets one reactor may have open. A closed socket keeps its descriptor until the reactor's next
 * select, so a place is free only then: in a burst hundreds may be closed at once, and their places given
 * away before would be descriptors too many. The reactor reports its status once a round, after the select.
 */
public class SocketRoom implements IOReactorMetricsListener {

    private final Semaphore free;
    private final AtomicInteger closedThisRound = new AtomicInteger();
    /** Closed in an earlier round; only the reactor's thread touches it. */
    private int closedBefore;

    public SocketRoom(int most) {
        free = new Semaphore(most);
    }

    public boolean take() {
        return free.tryAcquire();
    }

    public boolean take(long waitMs) throws InterruptedException {
        return free.tryAcquire(waitMs, TimeUnit.MILLISECONDS);
    }

    /** A place was taken for nothing. */
    public void giveBack() {
        free.release();
    }

    /** One of the sockets was closed just now; to be called on the reactor's thread. */
    public void closed() {
        closedThisRound.incrementAndGet();
    }

    @Override
    public void onThreadPoolStatus(int active, int pending) {
        if (closedBefore > 0) {
            free.release(closedBefore);
        }
        closedBefore = closedThisRound.getAndSet(0);
    }

    @Override
    public void onThreadPoolSaturation(double percentage) {
        // Reckoned against a figure of HttpCore's own; means nothing here.
    }

    @Override
    public void onResourceStarvationDetected() {
        // Never reached with so few sockets.
    }

    @Override
    public void onQueueWaitTime(long milliseconds) {
        // Connecting has a timer of its own.
    }
}
