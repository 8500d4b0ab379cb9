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

    private static final int PLACES = 4;

    private final EventLoop loop = new EventLoop();
    private final ClientConnections clients = new ClientConnections(
            loop,
            PLACES,
            new Clock(),
            new OverloadController<EvictableConnection, Object>(
                    OverloadConfig.of(List.of(1.0), 1, true, 1_000, 20, 1)));
    private boolean told;

    @AfterMethod
    public void close() {
        loop.close();
    }

    /** An accepted connection is between the listener's thread and the loop's for a while: it may hold a request. */
    @Test
    public void anAcceptedConnectionThatIsNotUpYetIsWaitedFor() throws Exception {
        EvictableConnection first = new Idle();
        EvictableConnection second = new Idle();
        clients.awaitCapacity();
        clients.onOpened(first);
        clients.awaitCapacity();
        clients.whenAllClosed(() -> told = true);
        clients.onClosed(first);
        assertFalse(told, "one was accepted and is not up yet");
        clients.onOpened(second);
        assertFalse(told, "one is up");
        clients.onClosed(second);
        assertTrue(told, "none is left");
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
