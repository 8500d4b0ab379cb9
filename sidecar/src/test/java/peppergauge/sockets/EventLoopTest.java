package peppergauge.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.NotYetConnectedException;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.testng.annotations.Test;
import peppergauge.log.Log;

public class EventLoopTest {

    private static final EnumSet<Thread.State> WAITING = EnumSet.of(Thread.State.WAITING, Thread.State.TIMED_WAITING);

    /** Closing the selector during a round occasionally caused a ConcurrentModificationException. */
    @Test
    public void closeWaitsForTheEndOfTheCurrentRound() throws Exception {
        Map<Thread, String> logged = new ConcurrentHashMap<>();
        Log.Sink previousSink =
                Log.setSink((event, text, dropped) -> logged.put(Thread.currentThread(), event + ": " + text));
        EventLoop loop = new EventLoop();
        Thread closing = new Thread(loop::close, "closing");
        AtomicReference<Thread> loopThread = new AtomicReference<>();
        CountDownLatch connected = new CountDownLatch(2);
        CountDownLatch sent = new CountDownLatch(1);
        try {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            InetSocketAddress address = (InetSocketAddress) loop.listen(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            connection -> new ClosingHandler(connected, closing))
                    .getAddress();
            try (Socket one = new Socket(address.getAddress(), address.getPort());
                    Socket other = new Socket(address.getAddress(), address.getPort())) {
                connected.await();
                // Both sockets become readable in the same round.
                CountDownLatch loopBlocked = new CountDownLatch(1);
                loop.execute(() -> {
                    loopThread.set(Thread.currentThread());
                    loopBlocked.countDown();
                    awaitQuietly(sent);
                });
                loopBlocked.await();
                one.getOutputStream().write('a');
                other.getOutputStream().write('a');
                sent.countDown();
                assertEquals(one.getInputStream().read(), -1);
                assertEquals(other.getInputStream().read(), -1);
                closing.join();
                loopThread.get().join();
            }
        } finally {
            loop.close();
            Log.setSink(previousSink);
        }
        // Threads that other tests left running may still log.
        logged.keySet().retainAll(Set.of(closing, loopThread.get()));
        assertEquals(logged, Map.of());
    }

    /** Such an error ended the loop, and the process with it. */
    @Test
    public void goesOnAfterATaskWhoseClassCannotBeLoaded() throws Exception {
        EventLoop loop = new EventLoop();
        CompletableFuture<Boolean> ran = new CompletableFuture<>();
        try {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            loop.execute(() -> {
                throw new NoClassDefFoundError("thrown by a test");
            });
            loop.execute(() -> ran.complete(true));
            assertEquals(ran.get(10, TimeUnit.SECONDS), Boolean.TRUE);
        } finally {
            loop.close();
        }
    }

    @Test
    public void reportsTheErrorThatEndsIt() throws Exception {
        EventLoop loop = new EventLoop();
        CompletableFuture<Throwable> reported = new CompletableFuture<>();
        AtomicReference<Thread> loopThread = new AtomicReference<>();
        loop.setFailureHandler((thread, thrown) -> reported.complete(thrown));
        try {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            OutOfMemoryError error = new OutOfMemoryError("thrown by a test");
            loop.execute(() -> {
                loopThread.set(Thread.currentThread());
                // The error is expected, and not to be printed.
                Thread.currentThread().setUncaughtExceptionHandler((thread, thrown) -> {});
                throw error;
            });
            assertSame(reported.get(10, TimeUnit.SECONDS), error);
            loopThread.get().join();
        } finally {
            loop.close();
        }
    }

    /** An exception of one connection's handler, in any of its calls, ended HttpCore's worker and the process. */
    @Test(timeOut = 10_000)
    public void exceptionsOfOneConnectionCloseItAndNoOther() throws Exception {
        EventLoop loop = new EventLoop();
        CompletableFuture<String> failed = new CompletableFuture<>();
        loop.setFailureHandler((thread, thrown) -> failed.complete(thread));
        try {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            InetSocketAddress address = (InetSocketAddress) loop.listen(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            connection -> new ThrowingHandler())
                    .getAddress();
            try (Socket good = new Socket(address.getAddress(), address.getPort())) {
                for (int i = 0; i < ThrowingHandler.STEPS.length; i++) {
                    try (Socket bad = new Socket(address.getAddress(), address.getPort())) {
                        bad.getOutputStream().write(ThrowingHandler.STEPS[i]);
                        assertEquals(bad.getInputStream().read(), -1, "step " + (char) ThrowingHandler.STEPS[i]);
                    }
                }
                good.getOutputStream().write(ThrowingHandler.ECHO);
                assertEquals(good.getInputStream().read(), ThrowingHandler.ECHO);
            }
            assertEquals(failed.isDone(), false);
        } finally {
            loop.close();
        }
    }

    /** Throws in the call that the first byte of its peer names, or answers it. */
    private static final class ThrowingHandler extends IgnoringHandler {

        static final byte ECHO = 'e';
        static final byte[] STEPS = {'r', 'i', 'o', 'd', 't'};

        private byte step;

        @Override
        public void inputReady(IOSession session, ByteBuffer source) throws IOException {
            ByteBuffer input = ByteBuffer.allocate(1);
            if (session.read(input) <= 0) {
                return;
            }
            step = input.get(0);
            switch (step) {
                case 'r' -> throw new NotYetConnectedException();
                case 'i' -> throw new IOException("thrown by a test");
                case 't' -> session.setSocketTimeout(Timeout.ofMilliseconds(10));
                case 'd' -> session.close();
                default -> session.setEvent(EventMask.WRITE);
            }
        }

        @Override
        public void outputReady(IOSession session) {
            try {
                session.clearEvent(EventMask.WRITE);
                if (step == 'o') {
                    throw new IllegalStateException("thrown by a test");
                }
                session.write(ByteBuffer.wrap(new byte[] {ECHO}));
            } catch (IOException broken) {
                throw new IllegalStateException(broken);
            }
        }

        @Override
        public void timeout(IOSession session, Timeout after) {
            throw new IllegalStateException("thrown by a test");
        }

        @Override
        public void disconnected(IOSession session) {
            throw new IllegalStateException("thrown by a test");
        }

        @Override
        public void exception(IOSession session, Exception cause) {
            throw new IllegalStateException("thrown by a test");
        }
    }

    /** A connection whose set-up failed kept its place among the clients for good. */
    @Test(timeOut = 10_000)
    public void placeOfAConnectionThatCannotBeOpenedIsGivenBack() throws Exception {
        EventLoop loop = new EventLoop();
        CountDownLatch givenBack = new CountDownLatch(3);
        try {
            loop.start(new EventLoop.RoundListener() {}, new EventLoop.AcceptGate() {
                @Override
                public void awaitCapacity() {}

                @Override
                public void onOpenFailed() {
                    givenBack.countDown();
                }
            });
            InetSocketAddress address = (InetSocketAddress)
                    loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), connection -> {
                                throw new IllegalStateException("thrown by a test");
                            })
                            .getAddress();
            for (int i = 0; i < 3; i++) {
                try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                    assertEquals(client.getInputStream().read(), -1);
                }
            }
            givenBack.await();
        } finally {
            loop.close();
        }
    }

    /** An error on the listener's thread, such as a lack of memory, has to be reported. */
    @Test(timeOut = 10_000)
    public void reportsTheErrorThatEndsTheListener() throws Exception {
        EventLoop loop = new EventLoop();
        CompletableFuture<String> failed = new CompletableFuture<>();
        loop.setFailureHandler((thread, thrown) -> failed.complete(thread));
        try {
            loop.start(new EventLoop.RoundListener() {}, () -> {
                Thread.currentThread().setUncaughtExceptionHandler((thread, thrown) -> {});
                throw new OutOfMemoryError("thrown by a test");
            });
            InetSocketAddress address = (InetSocketAddress) loop.listen(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            connection -> new IgnoringHandler())
                    .getAddress();
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                assertEquals(failed.get(), "listener");
                assertEquals(client.isConnected(), true);
            }
        } finally {
            loop.close();
        }
    }

    /** A peer that wrote faster than its protocol read kept the event loop in one call. */
    @Test(timeOut = 10_000)
    public void runsTasksBesideAPeerThatSendsWithoutAPause() throws Exception {
        EventLoop loop = new EventLoop();
        try {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            InetSocketAddress address = (InetSocketAddress) loop.listen(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            connection -> new ReadingHandler())
                    .getAddress();
            try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
                Thread sender = new Thread(() -> sendWithoutAPause(peer));
                sender.setDaemon(true);
                sender.start();
                for (int i = 0; i < 50; i++) {
                    CountDownLatch ran = new CountDownLatch(1);
                    loop.execute(ran::countDown);
                    ran.await();
                }
            }
        } finally {
            loop.close();
        }
    }

    private static void sendWithoutAPause(Socket peer) {
        byte[] input = new byte[64 * 1024];
        try {
            while (true) {
                peer.getOutputStream().write(input);
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    /** Reads until nothing is left, as protocols do; this takes longer than the peer needs to send more. */
    private static final class ReadingHandler extends IgnoringHandler {

        @Override
        public void connected(IOSession session) {
            session.setEvent(EventMask.READ);
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) throws IOException {
            ByteBuffer input = ByteBuffer.allocate(1_024);
            int bytes;
            do {
                bytes = session.read(input.clear());
                if (bytes == 0) {
                    return;
                }
            } while (bytes > 0);
            session.close();
        }
    }

    /** The reactor's own check compares wall-clock times, which a step of that clock makes late by its length. */
    @Test(timeOut = 10_000)
    public void endsASilentSessionAfterItsSocketTimeoutWithoutTheReactorsCheck() throws Exception {
        EventLoop loop = new EventLoop();
        CompletableFuture<Timeout> timedOut = new CompletableFuture<>();
        CompletableFuture<Timeout> seenByReactor = new CompletableFuture<>();
        IOEventHandler handler = new IgnoringHandler() {
            @Override
            public void timeout(IOSession session, Timeout after) {
                seenByReactor.complete(session.getSocketTimeout());
                timedOut.complete(after);
            }
        };
        try {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            InetSocketAddress address = (InetSocketAddress)
                    loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), connection -> {
                                connection.setSocketTimeout(Timeout.ofMilliseconds(50));
                                return handler;
                            })
                            .getAddress();
            try (Socket silent = new Socket(address.getAddress(), address.getPort())) {
                assertEquals(timedOut.get(), Timeout.ofMilliseconds(50));
                assertEquals(seenByReactor.get(), Timeout.DISABLED);
                assertEquals(silent.isConnected(), true);
            }
        } finally {
            loop.close();
        }
    }

    private static class IgnoringHandler implements IOEventHandler {

        @Override
        public void connected(IOSession session) {}

        @Override
        public void inputReady(IOSession session, ByteBuffer source) throws IOException {}

        @Override
        public void outputReady(IOSession session) {}

        @Override
        public void timeout(IOSession session, Timeout after) {}

        @Override
        public void exception(IOSession session, Exception cause) {}

        @Override
        public void disconnected(IOSession session) {}
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the loop in the middle of a round, and continues when the closing thread has ended or waits. */
    private static final class ClosingHandler extends IgnoringHandler {

        private final CountDownLatch connected;
        private final Thread closing;

        ClosingHandler(CountDownLatch connected, Thread closing) {
            this.connected = connected;
            this.closing = closing;
        }

        @Override
        public void connected(IOSession session) {
            session.setEventMask(EventMask.READ);
            connected.countDown();
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
    }
}
