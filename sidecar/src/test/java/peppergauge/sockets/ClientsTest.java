package peppergauge.sockets;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import peppergauge.overload.Overload;
import peppergauge.overload.OverloadSettings;
import peppergauge.session.Clock;

public class ClientsTest {

    private static final int PLACES = 4;

    private final Loop loop = new Loop();
    private final Clients clients = new Clients(
            loop,
            PLACES,
            new Clock(),
            new Overload<Claimant, Object>(OverloadSettings.of(List.of(1.0), 1, true, 1_000, 20, 1)));
    private boolean told;

    @AfterMethod
    public void close() {
        loop.close();
    }

    /** An accepted connection is between the listener's thread and the loop's for a while: it may hold a request. */
    @Test
    public void anAcceptedConnectionThatIsNotUpYetIsWaitedFor() throws Exception {
        Claimant first = new Idle();
        Claimant second = new Idle();
        clients.pass();
        clients.opened(first);
        clients.pass();
        clients.whenNoneIsOpen(() -> told = true);
        clients.closed(first);
        assertFalse(told, "one was accepted and is not up yet");
        clients.opened(second);
        assertFalse(told, "one is up");
        clients.closed(second);
        assertTrue(told, "none is left");
    }

    private static final class Idle implements Claimant {

        @Override
        public boolean closeForRoom() {
            return true;
        }

        @Override
        public boolean closeIfIdle() {
            return true;
        }
    }
}
