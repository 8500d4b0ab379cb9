package peppergauge.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;

public class ClientConnectionsTest {

    private static final int MAX_SOCKETS = 4;
    private static final long CAPACITY_POLL_MS = 2;
    private static final long RECURRING_GRACE_MS = 50;
    private static final long SINGLE_REQUEST_GRACE_MS = 100;

    private EventLoop loop;
    private ClientConnections clients;
    private List<EvictableConnection> evicted;
    private boolean allClosed;

    @BeforeMethod
    public void create() {
        loop = new EventLoop();
        clients = new ClientConnections(
                loop,
                MAX_SOCKETS,
                new Clock(),
                new OverloadController<EvictableConnection, Object>(
                        OverloadConfig.of(List.of(1.0), 1, true, 1_000, 20, 1)));
        evicted = new CopyOnWriteArrayList<>();
        allClosed = false;
    }

    @AfterMethod
    public void close() {
        loop.close();
    }

    /** Between accepting and opening, which happen on different threads, a connection may already hold a request. */
    @Test
    public void waitsForAnAcceptedConnectionThatIsNotOpenYet() throws Exception {
        EvictableConnection first = new Idle();
        EvictableConnection second = new Idle();
        clients.awaitCapacity();
        clients.onOpened(first);
        clients.awaitCapacity();
        clients.whenAllClosed(() -> allClosed = true);
        clients.onClosed(first);
        assertFalse(allClosed, "an accepted connection is not open yet");
        clients.onOpened(second);
        assertFalse(allClosed, "one connection is open");
        clients.onClosed(second);
        assertTrue(allClosed, "no connection is open");
    }

    /** The accepting thread asked again every 2 ms, and a late event loop evicted a connection for each of these polls. */
    @Test
    public void evictsOneServedConnectionForOnePlaceAlthoughLoopIsLate() throws Exception {
        loop.start(new EventLoop.RoundListener() {}, () -> {});
        for (int i = 0; i < MAX_SOCKETS; i++) {
            openServed(new ClosedInNextRound(), 2);
        }
        Thread.sleep(RECURRING_GRACE_MS + 1);
        CountDownLatch lateLoop = new CountDownLatch(1);
        loop.execute(() -> awaitUninterruptibly(lateLoop));
        CompletableFuture<Void> accepting = CompletableFuture.runAsync(this::awaitCapacity);
        Thread.sleep(10 * CAPACITY_POLL_MS);
        lateLoop.countDown();
        accepting.get(5, TimeUnit.SECONDS);
        assertEquals(evicted.size(), 1, "connections evicted for one new connection");
    }

    /** A late event loop had accepted many connections and opened none, and evicted clients in use for the next one. */
    @Test
    public void keepsServedConnectionsWhileAcceptedConnectionIsNotOpen() throws Exception {
        loop.start(new EventLoop.RoundListener() {}, () -> {});
        for (int i = 1; i < MAX_SOCKETS; i++) {
            openServed(new ClosedInNextRound(), i % 2 + 1);
        }
        clients.awaitCapacity();
        Thread.sleep(SINGLE_REQUEST_GRACE_MS + 1);
        CompletableFuture<Void> accepting = CompletableFuture.runAsync(this::awaitCapacity);
        Thread.sleep(20 * CAPACITY_POLL_MS);
        assertEquals(evicted, List.of(), "connections evicted while one is about to be opened");
        EvictableConnection withoutRequest = new ClosedInNextRound();
        onLoop(() -> clients.onOpened(withoutRequest));
        accepting.get(5, TimeUnit.SECONDS);
        assertEquals(evicted, List.of(withoutRequest));
    }

    private void openServed(EvictableConnection connection, int requests) throws Exception {
        clients.awaitCapacity();
        onLoop(() -> {
            clients.onOpened(connection);
            for (int i = 0; i < requests; i++) {
                clients.onRequestReceived(connection);
                clients.onResponseSent(connection, true);
            }
        });
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture.runAsync(task, loop::execute).get(5, TimeUnit.SECONDS);
    }

    private void awaitCapacity() {
        try {
            clients.awaitCapacity();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    /** A connection without open requests, whose close is reported in a later round, as the reactor does. */
    private final class ClosedInNextRound implements EvictableConnection {

        @Override
        public boolean evict() {
            evicted.add(this);
            loop.schedule(1, () -> clients.onClosed(this));
            return true;
        }

        @Override
        public boolean closeIfIdle() {
            return evict();
        }
    }

    private static final class Idle implements EvictableConnection {

        @Override
        public boolean evict() {
            return true;
        }

        @Override
        public boolean closeIfIdle() {
            return true;
        }
    }
}
