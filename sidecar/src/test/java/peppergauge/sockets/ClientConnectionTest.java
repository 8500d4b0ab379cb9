package peppergauge.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.Scheduler;

public class ClientConnectionTest {

    private static final int LIMIT = 4;

    private final List<Runnable> timers = new ArrayList<>();
    private EventLoop loop;
    private TestConnection connection;

    @BeforeMethod
    public void connect() throws InterruptedException {
        timers.clear();
        loop = new EventLoop();
        ClientConnections connections = new ClientConnections(
                loop,
                LIMIT,
                new Clock(),
                new OverloadController<EvictableConnection, Object>(
                        OverloadConfig.of(List.of(1.0), 1, true, 1_000, 20, 1)));
        connections.awaitCapacity();
        connection = new TestConnection(connections);
        connection.onConnected();
    }

    @AfterMethod
    public void close() {
        loop.close();
    }

    @Test
    public void closesAtTheReceiveTimeoutIfARequestIsPartlyReceived() {
        connection.partial = true;
        connection.checkRequestStarted();
        runTimer();
        assertEquals(connection.phase(), ConnectionPhase.CLOSED);
        assertEquals(connection.cancellations, 1);
    }

    @Test
    public void restartsTheTimeoutForARequestThatStartsWithIt() {
        connection.partial = true;
        runTimer();
        assertEquals(connection.phase(), ConnectionPhase.READING);
        connection.checkRequestStarted();
        runTimer();
        assertEquals(connection.phase(), ConnectionPhase.CLOSED);
    }

    @Test
    public void lingersAtTheIdleTimeout() {
        connection.onRequestReceived();
        connection.startIdleTimer();
        runTimer();
        assertEquals(connection.phase(), ConnectionPhase.LINGERING);
        assertEquals(connection.cancellations, 0);
    }

    @Test
    public void staysOpenWhileARequestIsOpen() {
        connection.openRequest = true;
        assertFalse(connection.closeIfIdle());
        assertFalse(connection.evict());
        runTimer();
        assertEquals(connection.phase(), ConnectionPhase.READING);
    }

    @Test
    public void closesAfterFourTimeoutsWithAnUnreadResponse() {
        connection.unwritten = true;
        connection.onRequestReceived();
        connection.startIdleTimer();
        for (int i = 1; i < 4; i++) {
            runTimer();
            assertEquals(connection.phase(), ConnectionPhase.READING);
        }
        runTimer();
        assertEquals(connection.phase(), ConnectionPhase.CLOSED);
    }

    @Test
    public void isNotEvictedWhileALaterRequestIsPartlyReceived() {
        connection.partial = true;
        assertFalse(connection.closeIfIdle());
        connection.onRequestReceived();
        assertFalse(connection.evict());
        connection.partial = false;
        assertTrue(connection.evict());
        assertEquals(connection.phase(), ConnectionPhase.CLOSED);
    }

    @Test
    public void isEvictedWhileTheFirstRequestIsPartlyReceived() {
        connection.partial = true;
        assertTrue(connection.evict());
        assertEquals(connection.phase(), ConnectionPhase.CLOSED);
    }

    @Test
    public void closesWhenTooMuchInputIsDiscarded() {
        connection.stopReading();
        connection.discard(LingeringClose.MAX_DISCARDED_BYTES);
        assertEquals(connection.phase(), ConnectionPhase.RESPONDING);
        connection.discard(1);
        assertEquals(connection.phase(), ConnectionPhase.CLOSED);
    }

    private void runTimer() {
        Runnable due = timers.remove(timers.size() - 1);
        due.run();
    }

    /** Keeps scheduled tasks until they are cancelled; the test runs them. */
    private final class Timers implements Scheduler {

        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public ScheduledTask schedule(double ms, Runnable task) {
            timers.add(task);
            return () -> timers.remove(task);
        }
    }

    /** A session that is open, has no input, and ignores all other calls. */
    private static IOSession openSession() {
        return (IOSession) Proxy.newProxyInstance(
                ClientConnectionTest.class.getClassLoader(),
                new Class<?>[] {IOSession.class},
                (proxy, method, arguments) -> switch (method.getName()) {
                    case "isOpen" -> true;
                    case "read" -> 0;
                    default -> null;
                });
    }

    private final class TestConnection extends ClientConnection {

        private boolean openRequest;
        private boolean unwritten;
        private boolean partial;
        private int cancellations;

        TestConnection(ClientConnections connections) {
            super(openSession(), connections, new Timers());
        }

        @Override
        protected boolean hasOpenRequests() {
            return openRequest;
        }

        @Override
        protected boolean hasUnwrittenResponses() {
            return unwritten;
        }

        @Override
        protected boolean isWritingLastResponse() {
            return false;
        }

        @Override
        protected boolean isReceivingRequest() {
            return partial;
        }

        @Override
        protected long receivedBytes() {
            return 0;
        }

        @Override
        protected String protocol() {
            return "test";
        }

        @Override
        protected void cancelOpenRequests() {
            cancellations++;
        }

        @Override
        public void connected(IOSession session) {}

        @Override
        public void inputReady(IOSession session, ByteBuffer source) {}

        @Override
        public void outputReady(IOSession session) {}

        @Override
        public void timeout(IOSession session, Timeout timeout) {}

        @Override
        public void exception(IOSession session, Exception cause) {}

        @Override
        public void disconnected(IOSession session) {}
    }
}
