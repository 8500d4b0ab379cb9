package peppergauge.sockets;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;

public class ClientConnectionsTest {

    private static final int MAX_SOCKETS = 4;

    private final EventLoop loop = new EventLoop();
    private final ClientConnections clients = new ClientConnections(
            loop,
            MAX_SOCKETS,
            new Clock(),
            new OverloadController<EvictableConnection, Object>(
                    OverloadConfig.of(List.of(1.0), 1, true, 1_000, 20, 1)));
    private boolean allClosed;

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
