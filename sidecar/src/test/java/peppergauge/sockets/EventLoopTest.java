package peppergauge.sockets;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.testng.annotations.Test;
import peppergauge.log.Log;

public class EventLoopTest {

    private static final EnumSet<Thread.State> WAITING = EnumSet.of(Thread.State.WAITING, Thread.State.TIMED_WAITING);

    /** A closing sidecar logged a ConcurrentModificationException now and then: the selector closed beneath a round. */
    @Test
    public void closingWaitsForTheRoundThatIsUnderWay() throws Exception {
        Map<Thread, String> said = new ConcurrentHashMap<>();
        Log.Sink former = Log.to((kind, text, passedOver) -> said.put(Thread.currentThread(), kind + ": " + text));
        EventLoop loop = new EventLoop();
        Thread closing = new Thread(loop::close, "closing");
        AtomicReference<Thread> rounds = new AtomicReference<>();
        CountDownLatch up = new CountDownLatch(2);
        CountDownLatch sent = new CountDownLatch(1);
        try {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            InetSocketAddress address = (InetSocketAddress) loop.listen(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            connection -> new Slow(up, closing))
                    .getAddress();
            try (Socket one = new Socket(address.getAddress(), address.getPort());
                    Socket other = new Socket(address.getAddress(), address.getPort())) {
                up.await();
                // Both are ready in one round.
                CountDownLatch between = new CountDownLatch(1);
                loop.execute(() -> {
                    rounds.set(Thread.currentThread());
                    between.countDown();
                    awaitQuietly(sent);
                });
                between.await();
                one.getOutputStream().write('a');
                other.getOutputStream().write('a');
                sent.countDown();
                assertEquals(one.getInputStream().read(), -1);
                assertEquals(other.getInputStream().read(), -1);
                closing.join();
                rounds.get().join();
            }
        } finally {
            loop.close();
            Log.to(former);
        }
        // What other tests left running may still have something to say.
        said.keySet().retainAll(Set.of(closing, rounds.get()));
        assertEquals(said, Map.of());
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    /** Has the loop closed in the middle of a round, and goes on when that is over or waits for it. */
    private record Slow(CountDownLatch up, Thread closing) implements IOEventHandler {

        @Override
        public void connected(IOSession session) {
            session.setEventMask(EventMask.READ);
            up.countDown();
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) {
            if (closing.getState() == Thread.State.NEW) {
                closing.start();
            }
            while (closing.isAlive() && !WAITING.contains(closing.getState())) {
                Thread.onSpinWait();
            }
        }

        @Override
        public void outputReady(IOSession session) {}

        @Override
        public void timeout(IOSession session, Timeout after) {}

        @Override
        public void exception(IOSession session, Exception cause) {}

        @Override
        public void disconnected(IOSession session) {}
    }
}
