package peppergauge.frontend;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.testng.annotations.Test;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.LargeBodies;
import peppergauge.request.PendingRequest;
import peppergauge.request.RequestDispatcher;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.EvictableConnection;

public class RehearsalTest {

    /** One that came late was sent to a backend server, under an id that no client ever gave. */
    @Test
    public void noRequestOfARehearsalEverGetsToTheSessionsOfClients() {
        Clock clock = new Clock();
        EventLoop loop = new EventLoop();
        OverloadController<EvictableConnection, PendingRequest> overload =
                new OverloadController<>(OverloadConfig.of(List.of(1.0), 1, true, 1_000, 20, 1));
        RequestDispatcher clients = new RequestDispatcher(null, null, clock, loop, overload, List.of(), 100);
        RequestDispatcher own = new RequestDispatcher(null, null, clock, loop, overload, List.of(), 100);
        HttpFrontend frontend = new HttpFrontend(
                null,
                clients,
                clock,
                loop,
                overload,
                new ClientConnections(loop, 8, clock, overload),
                LargeBodies.NONE);
        BasicHttpRequest usual = new BasicHttpRequest("GET", "/list/k");
        BasicHttpRequest marked = new BasicHttpRequest("GET", "/list/k");
        marked.addHeader(HttpFrontend.REHEARSAL_HEADER, "mark");
        assertSame(frontend.handlerFor(marked), clients);
        frontend.enableRehearsal(own, "mark");
        assertSame(frontend.handlerFor(marked), own);
        assertTrue(frontend.isRehearsalHandler(own));
        assertSame(frontend.handlerFor(usual), clients);
        assertFalse(frontend.isRehearsalHandler(clients));
        frontend.setReady();
        assertNull(frontend.handlerFor(marked));
        assertSame(frontend.handlerFor(usual), clients);
        loop.close();
    }
}
